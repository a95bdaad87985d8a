import {type IncomingMessage, type ServerResponse} from 'node:http';
import * as z from 'zod';
import {type TimerService} from '../src/time/timer-service.js';
import {RestartableServer} from './restartable-server.js';

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
	/** Ids of the parts of its prompt, in order. */
	readonly promptParts: readonly string[];
	/** Whether it was refused without being executed because it names another incarnation. */
	readonly isMisdirected: boolean;
	/** Whether it was refused without being executed because the simulator rejects requests. */
	readonly isRejected: boolean;
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
	/** The event of the next stream of the simulator that gets a wrong id; later streams are not affected. */
	wrongEventId?: {readonly event: number; readonly id: number};
	/** Whether responses to plain requests have no length and end when the connection closes. */
	isUnframed?: boolean;
	/** Bytes of the body of a plain response, or of the data of all events of a stream, for the path of a request; shorter ones are padded. */
	answerBytes?: (path: string) => number;
	/** Status with which requests are refused without being executed. */
	rejectionStatus?: number;
	/** Id of a prompt part; a stream on a prompt with this part, other than as its last one, crashes the simulator just before its first event. */
	crashingPart?: string;
	/** Path of the requests that crash the simulator when it begins to run them. */
	crashingPath?: string;
	/** Requests per second that the simulator says it accepts from all instances together; it serves more nevertheless. */
	requestLimit?: number;
	/** Milliseconds from a crash until the next incarnation listens. */
	restartPause: number;
	/** Milliseconds for which the simulator is silent after the first event of the next stream; it sends nothing then and answers later whatever arrives. */
	pauseWithinStream?: number;
};

const misdirectedStatus = 421;
/** Fills answers up to their length. */
const padding = '.';

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

/** Returns the ids of the parts in a header such as `5c1e07a2:800,e4402b7d:250`. */
function parsePromptParts(header: string | undefined): readonly string[] {
	return header === undefined ? [] : header.split(',').map(entry => entry.trim().split(':')[0].toLowerCase());
}

/** Simulates a backend server of the platform: it accepts orders for layer ranges, streams events for pipeline requests, and answers plain requests. After a crash it starts again at the same address as a new incarnation, without layers. */
export class StageSimulator {
	readonly receivedRequests: ReceivedRequest[] = [];
	readonly behaviour: StageBehaviour = {events: 5, pause: 5, restartPause: 1000};
	orderCount = 0;
	range: {from: number; to: number} | null = null; // eslint-disable-line @typescript-eslint/no-restricted-types
	/** Number of crashes so far. */
	crashes = 0;
	private readonly server: RestartableServer;
	private silence: Promise<void> = Promise.resolve();

	constructor(private readonly firstId: string, private readonly firstStartedAt: number, private readonly timers: TimerService) {
		this.server = new RestartableServer((message, response) => {
			void this.route(message, response);
		}, timers);
	}

	/** Id of the current incarnation, or of the next one while none runs. */
	get id(): string {
		return this.crashes === 0 ? this.firstId : `${this.firstId}-${this.crashes}`;
	}

	/** Start of the incarnation in milliseconds since the Unix epoch. */
	get startedAt(): number {
		return this.firstStartedAt + this.crashes;
	}

	get port(): number {
		return this.server.port;
	}

	/** Whether an incarnation runs. */
	get isRunning(): boolean {
		return this.server.isListening;
	}

	async listen(port: number): Promise<number> {
		return this.server.listen(port);
	}

	async close(): Promise<void> {
		await this.server.close();
	}

	private async route(message: IncomingMessage, response: ServerResponse): Promise<void> {
		let body: string;
		try {
			body = await readText(message);
		} catch (error) {
			if (message.destroyed) {
				// The connection closed before the request was complete.
				return;
			}

			throw error;
		}

		await this.silence;
		if (response.destroyed) {
			return;
		}

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
		const expectedId = getHeader(message, 'siskinnotch-expected-replica');
		const arrival: ReceivedRequest = {
			id: getHeader(message, 'siskinnotch-attempt-id') ?? '',
			path: message.url ?? '',
			pipeline: getHeader(message, 'siskinnotch-hop-count'),
			workspace: getHeader(message, 'siskinnotch-tenant-name'),
			remaining: Number(getHeader(message, 'siskinnotch-deadline-remaining')),
			lastEventId: lastEventId === undefined ? undefined : Number(lastEventId),
			body,
			promptParts: parsePromptParts(getHeader(message, 'siskinnotch-prompt-prefix')),
			isMisdirected: expectedId !== undefined && expectedId !== this.id,
			isRejected: this.behaviour.rejectionStatus !== undefined,
			wasAborted: false,
		};
		this.receivedRequests.push(arrival);
		response.on('close', () => {
			arrival.wasAborted ||= !response.writableFinished;
		});
		response.setHeader('Siskinnotch-Attempt-Id', arrival.id);
		if (this.behaviour.requestLimit !== undefined) {
			response.setHeader('Server-Limit', String(this.behaviour.requestLimit));
		}

		if (arrival.isMisdirected) {
			response.writeHead(misdirectedStatus, {'Siskinnotch-Not-Executed': '1'}).end();
			return;
		}

		if (this.behaviour.rejectionStatus !== undefined) {
			response.writeHead(this.behaviour.rejectionStatus, {'Siskinnotch-Not-Executed': '1'}).end();
			return;
		}

		if (arrival.path === this.behaviour.crashingPath) {
			await this.timers.sleep(this.behaviour.pause);
			await this.crash();
			return;
		}

		response.setHeader('Siskinnotch-Replica-Signature', `signature of ${this.id}`);
		await (arrival.pipeline === undefined ? this.answerPlainRequest(response, arrival.path) : this.streamEvents(response, arrival));
	}

	private async answerPlainRequest(response: ServerResponse, requestPath: string): Promise<void> {
		await this.timers.sleep(this.behaviour.pause);
		if (this.behaviour.isUnframed) {
			response.useChunkedEncodingByDefault = false;
			response.shouldKeepAlive = false;
			response.flushHeaders();
		}

		response.end(`answer of ${this.id}`.padEnd(this.behaviour.answerBytes?.(requestPath) ?? 0, padding));
	}

	private async streamEvents(response: ServerResponse, arrival: ReceivedRequest): Promise<void> {
		const {events, pause, breakWithinEvent: dieWithin, pauseWithinStream: silenceMs, wrongEventId} = this.behaviour;
		this.behaviour.breakWithinEvent = undefined;
		this.behaviour.pauseWithinStream = undefined;
		this.behaviour.wrongEventId = undefined;
		response.writeHead(200, {'content-type': 'text/event-stream'});
		const first = (arrival.lastEventId ?? 0) + 1;
		const eventBytes = (this.behaviour.answerBytes?.(arrival.path) ?? 0) / events;
		for (let id = first; id <= events && !response.destroyed; id++) {
			await this.timers.sleep(pause); // eslint-disable-line no-await-in-loop
			await this.silence; // eslint-disable-line no-await-in-loop
			if (id === first && this.hasCrashingPart(arrival) && !response.destroyed) {
				await this.crash(); // eslint-disable-line no-await-in-loop
				return;
			}

			if (id === dieWithin) {
				response.write(`id: ${id}\ndata: ha`);
				await this.timers.sleep(pause); // eslint-disable-line no-await-in-loop
				response.destroy();
				return;
			}

			response.write(`id: ${id === wrongEventId?.event ? wrongEventId.id : id}\ndata: ${`token ${id}`.padEnd(eventBytes, padding)}\n\n`);
			if (id === first && silenceMs !== undefined) {
				this.silence = this.timers.sleep(silenceMs);
			}
		}

		response.end();
	}

	private hasCrashingPart({promptParts}: ReceivedRequest): boolean {
		const {crashingPart} = this.behaviour;
		return crashingPart !== undefined && promptParts.slice(0, -1).includes(crashingPart);
	}

	/** Ends the incarnation; the next one listens after a pause and has neither layers nor orders. */
	private async crash(): Promise<void> {
		this.crashes++;
		this.range = null;
		this.orderCount = 0;
		this.silence = Promise.resolve();
		await this.server.crash(this.behaviour.restartPause);
	}
}
