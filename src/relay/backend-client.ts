import {request as startRequest, type ClientRequest, type IncomingMessage} from 'node:http';
import {splitAddress} from '../settings/split-address.js';
import {type TimerService} from '../time/timer-service.js';
import {type Attempt} from './attempt.js';
import {AttemptFailureReason} from './attempt-failure.js';
import {type BackendAgent} from './backend-agent.js';
import {type ExchangeCodec} from './exchange-codec.js';
import {type ResponseListener} from './response-listener.js';

/** An attempt under way. */
export type RunningAttempt = {
	/** Ends it; the listener hears nothing more. */
	cancel(): void;
	/** Stops reading while the caller does not keep up. */
	pause(): void;
	resume(): void;
};

/** The parts that a backend client uses. */
export type BackendClientDependencies = {
	readonly codec: ExchangeCodec;
	readonly agent: BackendAgent;
	readonly timers: TimerService;
	/** Milliseconds to open a connection. */
	readonly connectTimeout: number;
};

/** Sends attempts to backend servers and checks that what comes back answers them. */
export class BackendClient {
	constructor(private readonly parts: BackendClientDependencies) {}

	/** Sends an attempt. The listener is never called before this returns. */
	send(attempt: Attempt, listener: ResponseListener): RunningAttempt {
		const call = new BackendCall(this.parts, attempt, listener);
		call.start();
		return call;
	}
}

class BackendCall implements RunningAttempt {
	private request!: ClientRequest;
	private message?: IncomingMessage;
	private isDone = false;
	private isConnected = false;

	constructor(private readonly parts: BackendClientDependencies, private readonly attempt: Attempt, private readonly listener: ResponseListener) {}

	start(): void {
		const {attempt, parts} = this;
		const {host, port} = splitAddress(attempt.server.address);
		this.request = startRequest({
			agent: attempt.needsNewConnection ? false : parts.agent,
			host,
			port,
			method: attempt.request.method,
			path: attempt.request.target,
			headers: parts.codec.encodeAttemptHeaders(attempt),
			setHost: false,
		});
		this.request.setNoDelay(true);
		this.watchConnection();
		this.request.on('response', message => {
			this.receive(message);
		});
		this.request.on('error', error => {
			this.fail(AttemptFailureReason.ConnectionLost, error.message);
		});
		this.request.on('close', () => {
			this.fail(AttemptFailureReason.ConnectionLost, 'the connection closed without an answer');
		});
		this.request.end(attempt.request.body);
	}

	cancel(): void {
		this.isDone = true;
		this.request.destroy();
	}

	pause(): void {
		this.message?.pause();
	}

	resume(): void {
		this.message?.resume();
	}

	private watchConnection(): void {
		this.request.on('socket', socket => {
			if (!socket.connecting) {
				this.isConnected = true;
				return;
			}

			const timeout = this.parts.timers.after(this.parts.connectTimeout, () => {
				if (!this.isConnected) {
					this.fail(AttemptFailureReason.NotConnected, `no connection within ${this.parts.connectTimeout} ms`);
				}
			});
			socket.once('connect', () => {
				this.isConnected = true;
				timeout.cancel();
			});
			socket.once('close', () => {
				timeout.cancel();
			});
		});
	}

	private receive(message: IncomingMessage): void {
		if (this.isDone) {
			return;
		}

		const reply = this.parts.codec.decodeResponseHead(message);
		if (reply.requestId !== this.attempt.request.id) {
			this.fail(AttemptFailureReason.InvalidResponse, `the answer belongs to request ${reply.requestId ?? 'without id'}`);
			return;
		}

		if (reply.hasContentEncoding) {
			this.fail(AttemptFailureReason.InvalidResponse, 'the body was encoded on the way');
			return;
		}

		this.message = message;
		const isEarly = !this.request.writableFinished;
		message.on('data', (chunk: Uint8Array) => {
			if (!this.isDone) {
				this.listener.onData(chunk);
			}
		});
		message.on('end', () => {
			this.finish(message, isEarly);
		});
		message.on('error', error => {
			this.fail(AttemptFailureReason.ConnectionLost, error.message);
		});
		message.on('close', () => {
			this.fail(AttemptFailureReason.ConnectionLost, 'the answer ended early');
		});
		this.listener.onHead(reply);
	}

	private finish(message: IncomingMessage, isEarly: boolean): void {
		if (this.isDone) {
			return;
		}

		if (!message.complete) {
			this.fail(AttemptFailureReason.ConnectionLost, 'the answer ended early');
			return;
		}

		if (isEarly) {
			// The server may go on reading the body, so the connection cannot carry another request.
			message.socket.destroy();
		}

		this.isDone = true;
		this.listener.onEnd();
	}

	private fail(reason: AttemptFailureReason, detail: string): void {
		if (this.isDone) {
			return;
		}

		this.isDone = true;
		this.request.destroy();
		this.listener.onFailure({
			reason: this.isConnected ? reason : AttemptFailureReason.NotConnected,
			detail,
			wasConnectionReused: this.request.reusedSocket,
		});
	}
}
