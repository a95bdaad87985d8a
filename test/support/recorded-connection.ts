import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {type TimerService} from '../../src/time/timer-service.js';
import {ConnectionEnd, type RequestLife} from './request-life.js';
import {
	Ending, isWholeAnswer, Reading, type RequestPlan,
} from './request-plan.js';
import {ResponseReader} from './response-reader.js';

const piecePauseMs = 40;
const slowPauseMs = 15;
const longPauseMs = 1000;
const leaveAfterMs = 60;
/** For which a caller waits beyond its deadline. */
const patienceMs = 4000;
/** Within which a reset follows the end of a connection. */
const resetWaitMs = 100;
const probeDelayMs = 20;
/** May stand between requests. */
const probeText = '\r\n';
/** Characters of a body that are kept if it is not the answer. */
const maxKeptText = 300;

function createHead({path, id, key, body, deadlineMs}: RequestPlan): string {
	return [
		`POST ${path} HTTP/1.1`,
		'host: site.example',
		`siskinnotch-attempt-id: ${id}`,
		`siskinnotch-deadline-remaining: ${deadlineMs}`,
		'siskinnotch-token-usage: 100,50',
		`x-api-key: ${key}`,
		`content-length: ${body.length}`,
		'\r\n',
	].join('\r\n');
}

/** A connection of a caller, which sends one request after the other on it until the instance closes it. */
export class RecordedConnection {
	/** Connects; resolves to undefined if the instance does not accept connections. */
	static async open(port: number, instance: string, timers: TimerService): Promise<RecordedConnection | undefined> {
		const socket = connect({
			port, host: '127.0.0.1', allowHalfOpen: true, noDelay: true,
		});
		try {
			await once(socket, 'connect');
		} catch {
			return undefined;
		}

		return new RecordedConnection(socket, instance, timers);
	}

	private sentRequests = 0;
	private end?: ConnectionEnd;
	/** When the connection ended for its caller. */
	private endedAt?: number;
	private isLast = false;
	private reader = new ResponseReader();
	private reading = Reading.Steady;
	private notify?: () => void;

	private constructor(private readonly socket: Socket, private readonly instance: string, private readonly timers: TimerService) {
		socket.on('data', bytes => {
			this.reader.add(bytes);
			this.pauseAfterPiece();
			if (this.reader.isComplete) {
				this.notify?.();
			}
		});
		socket.on('error', () => {
			this.close(ConnectionEnd.Reset);
		});
		socket.on('end', () => {
			this.handleEnd();
		});
	}

	/** Whether the next request can be sent. */
	get isOpen(): boolean {
		return this.end === undefined && !this.isLast;
	}

	/** Sends a request and waits for the end of its reply or of the connection. */
	async send(plan: RequestPlan): Promise<RequestLife> {
		this.reader = new ResponseReader();
		this.reading = plan.reading;
		const life: RequestLife = {
			plan, instance: this.instance, position: ++this.sentRequests, endedAt: 0, isComplete: false, isAnswer: false, receivedBytes: 0, text: '',
		};
		const ended = new Promise<void>(resolve => {
			this.notify = resolve;
		});
		await this.write(plan, life);
		const timer = this.timers.after(plan.ending === Ending.Leaves ? leaveAfterMs : plan.deadlineMs + patienceMs, () => {
			this.close(ConnectionEnd.Left);
		});
		await (this.end === undefined ? ended : undefined);
		timer.cancel();
		return this.complete(life);
	}

	/** Closes the connection as its caller. */
	leave(): void {
		this.close(ConnectionEnd.Left);
	}

	private async write(plan: RequestPlan, life: RequestLife): Promise<void> {
		const bytes = createHead(plan) + plan.body;
		const size = Math.ceil(bytes.length / plan.pieces);
		for (let start = 0; start < bytes.length && this.endedAt === undefined; start += size) {
			this.socket.write(bytes.slice(start, start + size));
			if (start + size >= bytes.length) {
				life.sentAt = this.timers.now();
				break;
			}

			await this.timers.sleep(piecePauseMs); // eslint-disable-line no-await-in-loop
		}

		if (plan.ending === Ending.HalfCloses) {
			await this.halfClose();
		}
	}

	/** Half-closes the connection, unless the instance had closed it when the request was sent. */
	private async halfClose(): Promise<void> {
		await this.timers.handleInput();
		this.isLast = true;
		if (this.endedAt === undefined) {
			this.socket.end();
		}
	}

	private complete(life: RequestLife): RequestLife {
		const {status, isComplete, receivedBytes, text, isLast} = this.reader;
		const isAnswer = isComplete && status === 200 && isWholeAnswer(life.plan, text);
		this.isLast ||= isLast;
		if (!this.isOpen) {
			this.socket.destroy();
		}

		return Object.assign(life, {
			status, isComplete, isAnswer, receivedBytes, text: isAnswer ? '' : text.slice(0, maxKeptText), endedAt: this.endedAt ?? this.timers.now(), connectionEnd: isComplete ? undefined : this.end,
		});
	}

	private close(end: ConnectionEnd): void {
		this.endedAt ??= this.timers.now();
		this.end ??= end;
		this.socket.destroy();
		this.notify?.();
	}

	/** The end may be followed by a reset, which shows that the instance did not read all that was sent. The runtime tells of it only when something is written. */
	private handleEnd(): void {
		this.isLast = true;
		this.endedAt ??= this.timers.now();
		this.timers.after(probeDelayMs, () => {
			this.probe();
		});
		this.timers.after(resetWaitMs, () => {
			this.close(ConnectionEnd.Closed);
		});
	}

	/** Writes to the connection, which fails if it has been reset. */
	private probe(): void {
		if (this.socket.writable) {
			this.socket.write(probeText);
		}
	}

	private pauseAfterPiece(): void {
		if (this.reading === Reading.Steady) {
			return;
		}

		const pauseMs = this.reading === Reading.Slow ? slowPauseMs : longPauseMs;
		this.reading = this.reading === Reading.Pausing ? Reading.Steady : this.reading;
		this.socket.pause();
		this.timers.after(pauseMs, () => {
			this.socket.resume();
		});
	}
}
