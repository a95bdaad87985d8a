import {Agent} from 'node:http';
import {type TimerHandle} from '../time/timer-handle.js';
import {type TimerService} from '../time/timer-service.js';
import {HttpFetch} from './http-fetch.js';
import {PlatformError} from './platform-error.js';

/** An answer of the platform. */
type Answer = {
	readonly status: number;
	readonly body: string;
};

const connectionRetirementMs = 30_000;

/** Sends JSON requests to the platform over connections that are retired by age. */
export class HttpClient {
	private agent = new Agent({keepAlive: true});
	private readonly retirement: TimerHandle;

	/**
	@param base - URL of the platform without a slash at the end
	@param limit - milliseconds that a request may take
	*/
	constructor(private readonly base: string, private readonly limit: number, private readonly timers: TimerService) {
		this.retirement = timers.repeat(connectionRetirementMs, () => {
			this.retire();
		});
	}

	/**
	Sends one request; statuses 200 to 499 are answers, all else throws PlatformError.

	@param limit - milliseconds that this request may take
	*/
	async send(method: 'GET' | 'POST' | 'PUT', path: string, body?: unknown, limit = this.limit): Promise<Answer> {
		try {
			const {status, text} = await this.timers.runWithTimeout(limit, async signal => new HttpFetch(this.agent).fetch(this.base + path, {
				method,
				body: body === undefined ? undefined : JSON.stringify(body),
				headers: {'content-type': 'application/json'},
				signal,
			}));
			if (status >= 500) {
				throw new PlatformError(`the platform answered ${status} to ${path}`, status !== 503);
			}

			return {status, body: await text()};
		} catch (error) {
			throw this.toPlatformError(error, path);
		}
	}

	/** Ends the use of this client. */
	close(): void {
		this.retirement.cancel();
		this.retire();
	}

	/** Leaves the idle connections, so that the next request opens a new one. */
	retire(): void {
		const old = this.agent;
		this.agent = new Agent({keepAlive: true});
		for (const sockets of Object.values(old.freeSockets)) {
			for (const socket of sockets ?? []) {
				socket.destroy();
			}
		}
	}

	private toPlatformError(error: unknown, path: string): PlatformError {
		if (error instanceof PlatformError) {
			return error;
		}

		// A connection that gave no answer may have been forgotten by the other end.
		this.retire();
		const wasRefused = error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED';
		return new PlatformError(`the platform gave no answer to ${path}: ${error instanceof Error ? error.message : 'unknown error'}`, !wasRefused);
	}
}
