import {once} from 'node:events';
import {type IncomingMessage} from 'node:http';
import {connect, type Socket} from 'node:net';
import {type ExecutionContext} from 'ava';
import {freePort} from '../../harness/ports.js';
import {EntryServer, type EntryServerDependencies} from '../../src/entry/entry-server.js';
import {Lifecycle} from '../../src/lifecycle.js';
import {Metrics} from '../../src/observation/metrics.js';
import {type CallerReply} from '../../src/relay/caller-reply.js';
import {type CallerHeaders} from '../../src/relay/exchange-codec.js';
import {ClockTimerService} from '../../src/time/clock-timer-service.js';
import {createCallerIntake} from './caller-intake.js';
import {RecordingLog} from './sample-fleet.js';

/** What an entry server is tested with. */
export type EntryOptions = {
	/** Replies to an accepted request. */
	readonly answer?: (reply: CallerReply) => void;
	/** Decodes the head of a request, beside the id. */
	readonly decode?: (message: IncomingMessage) => Partial<CallerHeaders>;
	/** Encodes the headers of a reply of the instance itself. */
	readonly encodeReply?: () => string[];
	/** Whether another instance has a newer configuration. */
	readonly isBehind?: boolean;
	/** Called each time that a request is authorized. */
	readonly authorize?: () => void;
};

const conditionTimeoutMs = 10_000;
const pollIntervalMs = 10;

/** A connection of a caller, with the text that it has received. */
export type CallerSocket = {
	readonly socket: Socket;
	received: string;
	isClosed: boolean;
};

/** An entry server that accepts every request, and whose replies a test gives. */
export class EntryFixture {
	static readonly limits = {
		maxHeaderBytes: 16_384, maxBodyBytes: 10_000, headerTimeout: 3000, idleTimeout: 15_000,
	};

	static async start(t: ExecutionContext, options: EntryOptions = {}): Promise<EntryFixture> {
		const entry = new EntryFixture(await freePort(), options);
		entry.server.setLimits(EntryFixture.limits);
		await entry.server.listen('127.0.0.1', entry.port);
		t.teardown(() => {
			for (const socket of entry.sockets) {
				socket.destroy();
			}

			entry.server.stopListening();
		});
		return entry;
	}

	readonly timers = new ClockTimerService();
	readonly log = new RecordingLog();
	readonly metrics = new Metrics();
	readonly lifecycle = new Lifecycle();
	readonly server: EntryServer;
	private readonly sockets: Socket[] = [];

	private constructor(readonly port: number, {answer, decode, encodeReply, isBehind = false, authorize}: EntryOptions) {
		const {timers, metrics, log, lifecycle} = this;
		this.server = new EntryServer({ // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
			intake: createCallerIntake(timers),
			authorizer: {
				authorize() {
					authorize?.();
					return {route: {name: 'drafts', priority: 1, timeout: 5000}, service: {name: 'model'}, version: 1};
				},
				findTimeout: () => 5000,
			},
			catalogCurrency: {describe: () => ({isBehind, age: 0})},
			codec: {
				decodeRequest: (message: IncomingMessage) => ({
					id: String(message.headers['x-id'] ?? ''), forwardedHeaders: [], promptParts: [], ...decode?.(message),
				}),
				encodeReplyHeaders: () => encodeReply?.() ?? [],
			},
			exchanges: {
				start(_request: unknown, reply: CallerReply) {
					answer?.(reply);
				},
			},
			crashGuard: {check: () => undefined},
			lifecycle,
			timers,
			metrics,
			log,
		} as unknown as EntryServerDependencies);
	}

	/** Connects a caller. */
	async connect(isReading = true): Promise<CallerSocket> {
		const socket = connect({port: this.port, host: '127.0.0.1', allowHalfOpen: true});
		const caller: CallerSocket = {socket, received: '', isClosed: false};
		this.sockets.push(socket);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			caller.isClosed = true;
		});
		await once(socket, 'connect');
		if (isReading) {
			socket.setEncoding('latin1');
			socket.on('data', (text: string) => {
				caller.received += text;
			});
		}

		return caller;
	}

	/** Polls a condition until it holds. Throws after a time limit. */
	async waitUntil(condition: () => boolean): Promise<void> {
		const deadline = this.timers.now() + conditionTimeoutMs;
		while (!condition()) {
			if (this.timers.now() > deadline) {
				throw new Error(`the condition did not hold within ${conditionTimeoutMs} ms; last log lines: ${JSON.stringify(this.log.lines.slice(-5))}`);
			}

			await this.timers.sleep(pollIntervalMs); // eslint-disable-line no-await-in-loop
		}
	}

	/** Waits for the first log line of a kind; returns its fields. */
	async waitForLine(wanted: string) {
		const find = () => this.log.lines.find(({kind}) => kind === wanted);
		await this.waitUntil(() => find() !== undefined);
		return find()!.fields;
	}
}
