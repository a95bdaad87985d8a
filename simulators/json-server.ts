import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type Socket, type AddressInfo} from 'node:net';
import * as z from 'zod';
import {listen} from '../src/network/listen.js';

/** A parsed request. `path` has the decoded segments. */
export type JsonRequest = {
	readonly path: readonly string[];
	readonly query: URLSearchParams;
	readonly body: unknown;
	readonly headers: IncomingMessage['headers'];
	readonly response: ServerResponse;
};

/** Answers a request. The returned value is sent as JSON; undefined means that the handler writes the response itself, or sends none. */
export type JsonHandler = (request: JsonRequest) => unknown;

async function readJson(request: IncomingMessage): Promise<unknown> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of request) {
		chunks.push(z.instanceof(Uint8Array).parse(chunk));
	}

	const text = Buffer.concat(chunks).toString();
	return text === '' ? undefined : JSON.parse(text) as unknown;
}

/** Returns the port on which a server listens; 0 if it has none. */
export function getListeningPort(server: {address(): AddressInfo | string | null}): number { // eslint-disable-line @typescript-eslint/no-restricted-types
	const address = server.address();
	return typeof address === 'object' ? address?.port ?? 0 : 0;
}

/** A response with a status other than 200. */
export class StatusResponse {
	constructor(readonly status: number, readonly body: unknown) {}
}

/** An HTTP server with JSON bodies for simulators. Its connections can be muted and reset. */
export class JsonServer {
	private readonly server: Server;
	private readonly sockets = new Set<Socket>();
	private readonly muted = new WeakSet<Socket>();

	constructor(private readonly routes: Readonly<Record<string, JsonHandler>>) {
		this.server = createServer((request, response) => {
			void this.answer(request, response);
		});
		this.server.keepAliveTimeout = 60_000;
		this.server.on('connection', socket => {
			socket.setNoDelay(true);
			this.sockets.add(socket);
			socket.on('error', () => {
				socket.destroy();
			});
			socket.on('close', () => {
				this.sockets.delete(socket);
			});
		});
	}

	/** Starts to listen on loopback. Resolves to the port. */
	async listen(port: number): Promise<number> {
		await listen(this.server, '127.0.0.1', port);
		return getListeningPort(this.server);
	}

	/** Makes all open connections silent without closing them; later connections work. */
	muteConnections(): void {
		for (const socket of this.sockets) {
			this.muted.add(socket);
			socket.pause();
			Object.assign(socket, {write: () => true, end: () => socket});
		}
	}

	isMuted(socket: Socket | null): boolean { // eslint-disable-line @typescript-eslint/no-restricted-types
		return socket !== null && this.muted.has(socket);
	}

	/** Closes all open connections. */
	resetConnections(): void {
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}

	async close(): Promise<void> {
		this.resetConnections();
		await new Promise(resolve => {
			this.server.close(resolve);
		});
	}

	private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
		try {
			const url = new URL(request.url ?? '/', 'http://localhost');
			const path = url.pathname.split('/').slice(1).map(part => decodeURIComponent(part));
			const body = await readJson(request);
			if (this.isMuted(request.socket)) {
				return;
			}

			const handler = this.findHandler(request.method ?? 'GET', path);
			const answer = await (handler ?? (() => new StatusResponse(404, {message: 'no such path'})))({
				path, query: url.searchParams, body, headers: request.headers, response,
			});
			if (answer === undefined || response.destroyed) {
				return;
			}

			const {status, body: answerBody} = answer instanceof StatusResponse ? answer : new StatusResponse(200, answer);
			response.writeHead(status, {'content-type': 'application/json'});
			response.end(JSON.stringify(answerBody));
		} catch (error) {
			response.writeHead(500);
			response.end(String(error));
		}
	}

	/** Finds the handler with the longest matching path prefix. */
	private findHandler(method: string, path: readonly string[]): JsonHandler | undefined {
		for (let {length} = path; length > 0; length--) {
			const handler = this.routes[`${method} /${path.slice(0, length).join('/')}`];
			if (handler) {
				return handler;
			}
		}

		return undefined;
	}
}
