import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import * as z from 'zod';
import {listen} from '../src/network/listen.js';
import {type TimerService} from '../src/time/timer-service.js';
import {getListeningPort} from './json-server.js';

const orderSchema = z.object({from: z.number(), to: z.number(), expectedRevision: z.number().optional()});

/** A request that the simulator received. */
export type ReceivedRequest = {
	readonly id: string;
	readonly path: string;
	readonly pipeline?: string;
	readonly workspace?: string;
	readonly remaining: number;
	readonly lastEventId?: number;
	readonly body: string;
	/** Whether the connection closed before the response was complete. */
	wasAborted: boolean;
};

/** How the simulator answers. */
export type StageBehaviour = {
	/** Number of events of a stream. */
	events: number;
	/** Milliseconds before each event and before the response to a plain request. */
	pause: number;
	/** Id of the event within which the next stream breaks off; later streams are not affected. */
	breakWithinEvent?: number;
	/** Whether responses to plain requests have no length and end when the connection closes. */
	isUnframed?: boolean;
	/** Status with which requests are refused without being executed. */
	rejectionStatus?: number;
};

async function readText(message: IncomingMessage): Promise<string> {
	let text = '';
	for await (const chunk of message) {
		text += String(chunk);
	}

	return text;
}

function getHeader(message: IncomingMessage, name: string): string | undefined {
	const value = message.headers[name];
	return Array.isArray(value) ? value[0] : value;
}

/** Simulates a backend server of the platform: it accepts orders for layer ranges, streams events for pipeline requests, and answers plain requests. */
export class StageSimulator {
	readonly receivedRequests: ReceivedRequest[] = [];
	readonly behaviour: StageBehaviour = {events: 5, pause: 5};
	orderCount = 0;
	range: {from: number; to: number} | null = null; // eslint-disable-line @typescript-eslint/no-restricted-types
	private readonly server: Server;

	constructor(readonly id: string, readonly startedAt: number, private readonly timers: TimerService) {
		this.server = createServer((message, response) => {
			void this.route(message, response);
		});
	}

	async listen(port: number): Promise<number> {
		await listen(this.server, '127.0.0.1', port);
		return getListeningPort(this.server);
	}

	async close(): Promise<void> {
		this.server.closeAllConnections();
		await new Promise(resolve => {
			this.server.close(resolve);
		});
	}

	private async route(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const body = await readText(message);
		if (message.url === '/v1/report') {
			response.end(JSON.stringify({
				sequence: this.orderCount, born: this.startedAt, busy: false, pace: 1, layers: this.range,
			}));
			return;
		}

		if (message.url === '/v1/order') {
			this.applyOrder(orderSchema.parse(JSON.parse(body)), response);
			return;
		}

		await this.answerRequest(message, response, body);
	}

	private applyOrder({from, to, expectedRevision}: z.infer<typeof orderSchema>, response: ServerResponse): void {
		if (expectedRevision !== this.orderCount) {
			response.writeHead(409).end();
			return;
		}

		this.orderCount++;
		this.range = {from, to};
		response.writeHead(202).end();
	}

	private async answerRequest(message: IncomingMessage, response: ServerResponse, body: string): Promise<void> {
		const lastEventId = getHeader(message, 'last-event-id');
		const arrival: ReceivedRequest = {
			id: getHeader(message, 'siskinnotch-attempt-id') ?? '',
			path: message.url ?? '',
			pipeline: getHeader(message, 'siskinnotch-hop-count'),
			workspace: getHeader(message, 'siskinnotch-tenant-name'),
			remaining: Number(getHeader(message, 'siskinnotch-deadline-remaining')),
			lastEventId: lastEventId === undefined ? undefined : Number(lastEventId),
			body,
			wasAborted: false,
		};
		this.receivedRequests.push(arrival);
		response.on('close', () => {
			arrival.wasAborted ||= !response.writableFinished;
		});
		response.setHeader('Siskinnotch-Attempt-Id', arrival.id);
		if (this.behaviour.rejectionStatus !== undefined) {
			response.writeHead(this.behaviour.rejectionStatus, {'Siskinnotch-Not-Executed': '1'}).end();
			return;
		}

		response.setHeader('Siskinnotch-Replica-Signature', `signature of ${this.id}`);
		await (arrival.pipeline === undefined ? this.answerPlainRequest(response) : this.streamEvents(response, arrival.lastEventId ?? 0));
	}

	private async answerPlainRequest(response: ServerResponse): Promise<void> {
		await this.timers.sleep(this.behaviour.pause);
		if (this.behaviour.isUnframed) {
			response.useChunkedEncodingByDefault = false;
			response.shouldKeepAlive = false;
			response.flushHeaders();
		}

		response.end(`answer of ${this.id}`);
	}

	private async streamEvents(response: ServerResponse, after: number): Promise<void> {
		const {events, pause, breakWithinEvent: dieWithin} = this.behaviour;
		this.behaviour.breakWithinEvent = undefined;
		response.writeHead(200, {'content-type': 'text/event-stream'});
		for (let id = after + 1; id <= events && !response.destroyed; id++) {
			await this.timers.sleep(pause); // eslint-disable-line no-await-in-loop
			if (id === dieWithin) {
				response.write(`id: ${id}\ndata: ha`);
				await this.timers.sleep(pause); // eslint-disable-line no-await-in-loop
				response.destroy();
				return;
			}

			response.write(`id: ${id}\ndata: token ${id}\n\n`);
		}

		response.end();
	}
}
