import {Buffer} from 'node:buffer';
import {Agent, type IncomingHttpHeaders} from 'node:http';
import get from 'simple-get';

type FetchOptions = {
	readonly method?: string;
	readonly headers?: ConstructorParameters<typeof Headers>[0];
	readonly body?: string;
	readonly signal?: AbortSignal;
};

/** An answer with its whole body. */
export type FetchAnswer = {
	readonly ok: boolean;
	readonly status: number;
	/** By name in lower case. */
	readonly headers: IncomingHttpHeaders;
	json(): Promise<unknown>;
	text(): Promise<string>;
};

/**
The part of `fetch` that trpc's client and the client of the store use, over kept connections; the runtime's own needs several times the processor time for short calls.
*/
export class HttpFetch {
	constructor(private readonly agent = new Agent({keepAlive: true, maxSockets: 4})) {}

	/** Sends one request. Rejects where no whole answer comes. */
	async fetch(url: string, {method, headers, body, signal}: FetchOptions): Promise<FetchAnswer> {
		const fields = {'accept-encoding': 'identity', ...Object.fromEntries(new Headers(headers))};
		return new Promise((resolve, reject) => {
			get.concat({ // eslint-disable-line unicorn/prefer-spread
				url, method: method ?? 'GET', headers: fields, body, agent: this.agent, signal, followRedirects: false,
			}, (error, response, data) => {
				if (!response) {
					reject(error ?? new Error('no answer came'));
					return;
				}

				const text = Buffer.isBuffer(data) ? data.toString('utf8') : '';
				const status = response.statusCode ?? 0;
				resolve({
					ok: status >= 200 && status < 300,
					status,
					headers: response.headers,
					json: async () => JSON.parse(text) as unknown,
					text: async () => text,
				});
			});
		});
	}
}
