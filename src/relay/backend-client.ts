import {
	request as startRequest, type Agent, type ClientRequest, type IncomingMessage,
} from 'node:http';
import {wasClosedByPeer, watchConnectionEnd} from '../network/connection-end.js';
import {findResponseHeadFault} from '../network/head-faults.js';
import {isConnectionRefused} from '../network/is-connection-refused.js';
import {limitInterimResponses} from '../network/limit-interim-responses.js';
import {PieceLimit} from '../network/piece-limit.js';
import {splitAddress} from '../settings/split-address.js';
import {type TimerService} from '../time/timer-service.js';
import {ConnectionFailureCause} from '../tunnels/connection-failure-cause.js';
import {ConnectionFailure} from '../tunnels/connection-failure.js';
import {isTunnelled} from '../tunnels/tunnelled-socket.js';
import {type Attempt} from './attempt.js';
import {AttemptFailureReason, isUnsent} from './attempt-failure.js';
import {type BackendAgent} from './backend-agent.js';
import {type ExchangeCodec} from './exchange-codec.js';
import {type ResponseListener} from './response-listener.js';

/** An attempt in progress. */
export type RunningAttempt = {
	/** Whether it has a connection of this instance itself, and not through another one. */
	readonly usesOwnPath: boolean;
	/** Ends the attempt; its listener is not called again. */
	cancel(): void;
	/** Stops reading the response, for backpressure from a slow caller. */
	pause(): void;
	resume(): void;
};

/** Dependencies of a backend client. */
export type BackendClientDependencies = {
	readonly codec: ExchangeCodec;
	readonly agent: BackendAgent;
	/** Opens a connection for each request that needs a new one; the runtime does if undefined. */
	readonly newConnectionAgent?: Agent;
	readonly timers: TimerService;
	/** Milliseconds to establish a connection. */
	readonly connectTimeout: number;
};

/** Sends attempts to backend servers and checks that each response belongs to its request. */
export class BackendClient {
	constructor(private readonly dependencies: BackendClientDependencies) {}

	/** Sends an attempt. The listener is never called before this method returns. */
	send(attempt: Attempt, listener: ResponseListener): RunningAttempt {
		const call = new BackendCall(this.dependencies, attempt, listener);
		call.start();
		return call;
	}
}

const failureReasons: Readonly<Record<ConnectionFailureCause, AttemptFailureReason>> = {
	[ConnectionFailureCause.Refused]: AttemptFailureReason.Refused,
	[ConnectionFailureCause.Unanswered]: AttemptFailureReason.NotConnected,
	[ConnectionFailureCause.Unverified]: AttemptFailureReason.Unverified,
};

/** Returns why an attempt failed whose request ended with an error. */
function getFailureReason(error: Error): AttemptFailureReason {
	if (error instanceof ConnectionFailure) {
		return failureReasons[error.reason];
	}

	return isConnectionRefused(error) ? AttemptFailureReason.Refused : AttemptFailureReason.ConnectionLost;
}

class BackendCall implements RunningAttempt {
	private request!: ClientRequest;
	private message?: IncomingMessage;
	private isDone = false;
	private isConnected = false;
	private hasTunnel = false;
	private endsWithConnection = false;
	/** Bytes of the body of the response that were received. */
	private receivedBytes = 0;

	constructor(private readonly dependencies: BackendClientDependencies, private readonly attempt: Attempt, private readonly listener: ResponseListener) {}

	start(): void {
		const {attempt, dependencies} = this;
		const {host, port} = splitAddress(attempt.server.address);
		this.request = startRequest({
			agent: attempt.needsNewConnection ? dependencies.newConnectionAgent ?? false : dependencies.agent,
			host,
			port,
			method: attempt.request.method,
			path: attempt.request.target,
			headers: dependencies.codec.encodeAttemptHeaders(attempt),
			setHost: false,
		});
		this.request.setNoDelay(true);
		this.watchConnection();
		limitInterimResponses(this.request, () => {
			this.fail(AttemptFailureReason.ExcessiveResponse, 'the server sends interim responses without end');
		});
		this.request.on('response', message => {
			this.receive(message);
		});
		this.request.on('error', error => {
			this.failRequest(getFailureReason(error), error.message);
		});
		this.request.on('close', () => {
			this.failRequest(AttemptFailureReason.ConnectionLost);
		});
		this.request.end(attempt.request.body);
	}

	get usesOwnPath(): boolean {
		return this.isConnected && !this.hasTunnel;
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
			watchConnectionEnd(socket);
			this.hasTunnel = isTunnelled(socket);
			if (!socket.connecting) {
				this.isConnected = true;
				return;
			}

			const timeout = this.dependencies.timers.after(this.dependencies.connectTimeout, () => {
				if (!this.isConnected) {
					this.fail(AttemptFailureReason.NotConnected, `connection not established within ${this.dependencies.connectTimeout} ms`);
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

		const fault = findResponseHeadFault(message);
		if (fault !== undefined) {
			this.fail(AttemptFailureReason.InvalidResponse, fault);
			return;
		}

		const head = this.dependencies.codec.decodeResponseHead(message);
		if (head.requestId !== this.attempt.request.id) {
			this.fail(AttemptFailureReason.InvalidResponse, `the response belongs to another request: ${head.requestId ?? 'no request id'}`);
			return;
		}

		if (head.hasContentEncoding) {
			this.fail(AttemptFailureReason.InvalidResponse, 'the response body has a content encoding');
			return;
		}

		this.message = message;
		this.endsWithConnection = !head.isSelfDelimited && this.attempt.request.method !== 'HEAD';
		const isEarly = !this.request.writableFinished;
		const pieceLimit = new PieceLimit();
		message.on('data', (chunk: Uint8Array) => {
			this.receivedBytes += chunk.length;
			pieceLimit.add(chunk.length);
			if (pieceLimit.isExceeded) {
				this.fail(AttemptFailureReason.ExcessiveResponse, 'the response arrives in too many small pieces');
			} else if (!this.isDone) {
				this.listener.onData(chunk);
			}
		});
		message.on('end', () => {
			this.finish(message, isEarly);
		});
		message.on('error', error => {
			this.fail(AttemptFailureReason.ConnectionLost, this.describeCut(error.message));
		});
		message.on('close', () => {
			this.fail(AttemptFailureReason.ConnectionLost, this.describeCut());
		});
		this.listener.onHead(head);
	}

	private finish(message: IncomingMessage, isEarly: boolean): void {
		if (this.isDone) {
			return;
		}

		// If the instance that carries a tunnel is killed, the connection ends as if the server had closed it.
		const isTruncated = this.endsWithConnection && (this.hasTunnel || !wasClosedByPeer(message.socket));
		if (!message.complete || isTruncated) {
			this.fail(AttemptFailureReason.ConnectionLost, this.describeCut());
			return;
		}

		if (isEarly) {
			// The server may still be reading the request body, so the connection can't carry another request.
			message.socket.destroy();
		}

		this.isDone = true;
		this.listener.onEnd();
	}

	/** Fails because the request has ended. The runtime reports that before the end of the response, which may be complete and not read yet. */
	private failRequest(reason: AttemptFailureReason, cause?: string): void {
		if (!this.message) {
			this.fail(reason, cause ?? 'the connection closed before a response arrived');
		} else if (!this.message.complete) {
			this.fail(reason, this.describeCut(cause));
		}
	}

	/** Describes a response that was lost after its head. */
	private describeCut(cause?: string): string {
		const observed = `the response ended before it was complete, after its head and ${this.receivedBytes} bytes of its body`;
		return cause === undefined ? observed : `${observed}: ${cause}`;
	}

	private fail(reason: AttemptFailureReason, detail: string): void {
		if (this.isDone) {
			return;
		}

		this.isDone = true;
		this.request.destroy();
		this.listener.onFailure({
			reason: this.isConnected || isUnsent(reason) ? reason : AttemptFailureReason.NotConnected,
			detail,
			wasConnectionReused: this.request.reusedSocket,
		});
	}
}
