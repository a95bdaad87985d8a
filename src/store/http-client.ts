import {Agent, type IncomingHttpHeaders} from 'node:http';
import {type TimerHandle} from '../time/timer-handle.js';
import {type TimerService} from '../time/timer-service.js';
import {HttpFetch} from './http-fetch.js';
import {PlatformError} from './platform-error.js';

/** A response of the platform. */
export type PlatformResponse = {
	readonly status: number;
	/** Headers by lower-case name. */
	readonly headers: IncomingHttpHeaders;
	readonly body: string;
};

const connectionMaxAgeMs = 30_000;
/** Longest time that the body of a response may take over a slow link. */
const maxTransferMs = 5000;

/** Sends JSON requests to the platform over kept-alive connections, which are replaced periodically. */
export class HttpClient {
	private agent = new Agent({keepAlive: true});
	private readonly retirementTimer: TimerHandle;

	/**
	@param baseUrl - URL of the platform without a trailing slash
	@param timeout - milliseconds that the platform may take to begin a response by default, and between two parts of it
	*/
	constructor(private readonly baseUrl: string, private readonly timeout: number, private readonly timers: TimerService) {
		this.retirementTimer = timers.repeat(connectionMaxAgeMs, () => {
			this.replaceAgent();
		});
	}

	/**
	Sends a request. Resolves for statuses below 500; throws PlatformError for any other status, and if the response begins late or stops arriving.

	@param timeout - milliseconds that the platform may take to begin this response
	*/
	async send(method: 'GET' | 'POST' | 'PUT', path: string, body?: unknown, timeout = this.timeout): Promise<PlatformResponse> {
		const timeouts = {start: timeout, pause: this.timeout, total: timeout + maxTransferMs};
		try {
			const {status, headers, text} = await this.timers.runWhileProgressing(timeouts, async (signal, onData) => new HttpFetch(this.agent).fetch(this.baseUrl + path, {
				method,
				body: body === undefined ? undefined : JSON.stringify(body),
				headers: {'content-type': 'application/json'},
				signal,
				onData,
			}));
			if (status >= 500) {
				throw new PlatformError(`the platform answered ${path} with status ${status}`, status !== 503);
			}

			return {status, headers, body: await text()};
		} catch (error) {
			throw this.toPlatformError(error, path);
		}
	}

	/** Closes the client: stops replacing connections and closes the idle ones. */
	close(): void {
		this.retirementTimer.cancel();
		this.replaceAgent();
	}

	/** Replaces the agent and closes its idle connections, so that the next request opens a new one. */
	replaceAgent(): void {
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

		// The other end may no longer know a connection on which no response came.
		this.replaceAgent();
		const wasRefused = error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED';
		return new PlatformError(`no response from the platform to ${path}: ${error instanceof Error ? error.message : 'unknown error'}`, !wasRefused);
	}
}
