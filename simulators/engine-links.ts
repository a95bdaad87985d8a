import {Buffer} from 'node:buffer';
import {Agent, request as sendRequest} from 'node:http';
import {type Stage} from '../src/backends/stage.js';
import {type TimerService} from '../src/time/timer-service.js';

/** Connections from an engine simulator to other stages, with configurable rates and delays. */
export class EngineLinks {
	private readonly agent = new Agent({keepAlive: true});
	private readonly freeAt = new Map<string, number>();
	private delays: Readonly<Record<string, number>> = {};

	/**
	@param rates - messages a second, by server id; a server without an entry has no limit
	*/
	constructor(private readonly timers: TimerService, private readonly rates: Readonly<Record<string, number>>) {}

	/** Sets the milliseconds added to each message, by server id. */
	setDelays(delays: Readonly<Record<string, number>>): void {
		this.delays = delays;
	}

	/** Posts a list of messages to a stage, within the rate and after the delay of its link. Calls back if the stage cannot be reached. */
	send(stage: Stage, path: string, body: readonly unknown[], onFailed: () => void): void {
		const now = this.timers.now();
		const rate = this.rates[stage.server];
		const startsAt = Math.max(now, this.freeAt.get(stage.server) ?? 0);
		const endsAt = startsAt + (rate === undefined ? 0 : body.length * 1000 / rate);
		this.freeAt.set(stage.server, endsAt);
		const wait = endsAt - now + (this.delays[stage.server] ?? 0);
		if (wait < 1) {
			void this.post(stage.address, path, body, onFailed);
			return;
		}

		this.timers.after(wait, () => {
			void this.post(stage.address, path, body, onFailed);
		});
	}

	/** Posts JSON at once. Resolves to the text of the answer, or to undefined if the server cannot be reached. */
	async post(address: string, path: string, body: unknown, onFailed: () => void = () => undefined): Promise<string | undefined> {
		return new Promise(resolve => {
			const separator = address.lastIndexOf(':');
			const text = JSON.stringify(body);
			const request = sendRequest({
				agent: this.agent,
				host: address.slice(0, separator),
				port: Number(address.slice(separator + 1)),
				path,
				method: 'POST',
				headers: {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)},
			}, response => {
				let answer = '';
				response.setEncoding('utf8');
				response.on('data', (chunk: string) => {
					answer += chunk;
				});
				response.on('end', () => {
					resolve(answer);
				});
				response.on('error', () => {
					resolve(undefined);
				});
			});
			request.on('error', () => {
				onFailed();
				resolve(undefined);
			});
			request.end(text);
		});
	}
}
