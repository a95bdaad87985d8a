import {Agent, type IncomingHttpHeaders, type IncomingMessage} from 'node:http';
import get from 'simple-get';
import {ByteBuffer} from '../network/byte-buffer.js';
import {isDelimitedByConnection, wasClosedByPeer, watchConnectionEnd} from '../network/connection-end.js';
import {findResponseHeadFault} from '../network/head-faults.js';
import {limitInterimResponses} from '../network/limit-interim-responses.js';
import {PieceLimit} from '../network/piece-limit.js';

/** A request, as far as the part of `fetch` that is implemented goes. */
export type FetchOptions = {
	readonly method?: string;
	readonly headers?: ConstructorParameters<typeof Headers>[0];
	readonly body?: string;
	readonly signal?: AbortSignal;
	/** Called with the number of bytes of each part of the response's body. */
	readonly onData?: (bytes: number) => void;
	/** Largest body of the response. */
	readonly maxBodyBytes?: number;
};

/** A response with its complete body. */
export type FetchResponse = {
	readonly ok: boolean;
	readonly status: number;
	/** Headers by lower-case name. */
	readonly headers: IncomingHttpHeaders;
	json(): Promise<unknown>;
	text(): Promise<string>;
};

type Settlement = {
	resolve(response: FetchResponse): void;
	reject(error: Error): void;
};

/** Largest body of a response by default; more than any list or configuration of the platform. */
const defaultMaxBodyBytes = 33_554_432;

/** Collects the body of a response; a body that is too long closes its connection. */
function collect(response: IncomingMessage, {onData, maxBodyBytes = defaultMaxBodyBytes}: FetchOptions, {resolve, reject}: Settlement): void {
	const fault = findResponseHeadFault(response);
	if (fault !== undefined) {
		// The runtime passes on statuses that do not exist, such as 000.
		response.on('error', reject);
		response.destroy(new Error(fault));
		return;
	}

	const body = new ByteBuffer();
	const pieceLimit = new PieceLimit();
	response.on('data', (chunk: Uint8Array) => {
		body.append(chunk);
		pieceLimit.add(chunk.length);
		onData?.(chunk.length);
		if (body.length > maxBodyBytes) {
			response.destroy(new Error(`the body of the response exceeds ${maxBodyBytes} bytes`));
		} else if (pieceLimit.isExceeded) {
			response.destroy(new Error('the response arrives in too many small pieces'));
		}
	});
	response.on('error', reject);
	response.on('close', () => {
		reject(new Error('the response ended before it was complete'));
	});
	response.on('end', () => {
		if (isDelimitedByConnection(response) && !wasClosedByPeer(response.socket)) {
			reject(new Error('the connection was lost before the response was complete'));
			return;
		}

		const text = new TextDecoder().decode(body.take());
		const status = response.statusCode ?? 0;
		resolve({
			ok: status >= 200 && status < 300,
			status,
			headers: response.headers,
			json: async () => JSON.parse(text) as unknown,
			text: async () => text,
		});
	});
}

/**
Implements the part of `fetch` that the tRPC client and the store client use, over kept-alive connections. The `fetch` of the runtime takes several times the CPU time for short calls.
*/
export class HttpFetch {
	constructor(private readonly agent = new Agent({keepAlive: true, maxSockets: 4})) {}

	/** Sends a request. Rejects if no complete response arrives. */
	async fetch(url: string, options: FetchOptions): Promise<FetchResponse> {
		const {method, headers, body, signal} = options;
		const fields = {'accept-encoding': 'identity', ...Object.fromEntries(new Headers(headers))};
		return new Promise((resolve, reject) => {
			const request = get({
				url, method: method ?? 'GET', headers: fields, body, agent: this.agent, signal, followRedirects: false,
			}, (error, response) => {
				if (response) {
					collect(response, options, {resolve, reject});
				} else {
					reject(error ?? new Error('no response received'));
				}
			});
			request.once('socket', watchConnectionEnd);
			limitInterimResponses(request, () => {
				request.destroy(new Error('the server sends interim responses without end'));
			});
		});
	}
}
