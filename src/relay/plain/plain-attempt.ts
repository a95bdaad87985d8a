import {type BackendServer} from '../../pipelines/backend-server.js';
import {type AttemptCrashEvidence} from '../attempt-crash-evidence.js';
import {type AttemptFailure} from '../attempt-failure.js';
import {type RunningAttempt} from '../backend-client.js';
import {type ResponseBuffer} from '../response-buffer.js';
import {type ResponseHead} from '../response-head.js';
import {ResponseListener} from '../response-listener.js';

const minServerErrorStatus = 500;

/** Handles what the attempts of one plain request receive. */
export type PlainAttemptHandler = {
	/** Handles the head of the response to an attempt. */
	handleHead(attempt: PlainAttempt, head: ResponseHead): void;
	/** Handles a part of the body. */
	handleData(attempt: PlainAttempt, chunk: Uint8Array): void;
	/** Handles the end of a complete response. */
	handleEnd(attempt: PlainAttempt): void;
	/** Handles an attempt that ended without a complete response. */
	handleFailure(attempt: PlainAttempt, failure: AttemptFailure): void;
};

/** What an attempt of a plain request holds from its start. */
export type PlainAttemptResources = {
	readonly server: BackendServer;
	/** Number of the attempt within its request; the first one has 1. */
	readonly number: number;
	/** Monotonic time in milliseconds at which it was sent. */
	readonly sentAt: number;
	/** Milliseconds after which it counts as silent if it has no response. */
	readonly responseTimeout: number;
	readonly response: ResponseBuffer;
	readonly evidence: AttemptCrashEvidence;
	/** Records the end of the attempt in the load of its server; further calls have no effect. */
	readonly releaseLoad: () => void;
};

/** One attempt of a plain request, beside which another one may run. */
export class PlainAttempt extends ResponseListener {
	/** The transmission; undefined until the attempt is sent. */
	running?: RunningAttempt;
	/** Whether another attempt was sent because this one was silent. */
	isHedged = false;

	constructor(private readonly resources: PlainAttemptResources, private readonly handler: PlainAttemptHandler) {
		super();
	}

	/** The server to which it was sent. */
	get server(): BackendServer {
		return this.resources.server;
	}

	/** Number of the attempt within its request; the first one has 1. */
	get number(): number {
		return this.resources.number;
	}

	/** Monotonic time in milliseconds at which it was sent. */
	get sentAt(): number {
		return this.resources.sentAt;
	}

	/** The part of its response that is not passed on yet. */
	get response(): ResponseBuffer {
		return this.resources.response;
	}

	/** What it shows about whether the request crashes servers. */
	get evidence(): AttemptCrashEvidence {
		return this.resources.evidence;
	}

	/** The head of its response; undefined until it is received. */
	get head(): ResponseHead | undefined {
		return this.response.head;
	}

	/** Whether its response is an error of the server. */
	get isError(): boolean {
		return (this.head?.status ?? 0) >= minServerErrorStatus;
	}

	/** Whether it has had no response for its response timeout. */
	isSilent(now: number): boolean {
		return !this.head && now - this.sentAt >= this.resources.responseTimeout;
	}

	/** Records in the load of its server that the attempt is over. */
	releaseLoad(): void {
		this.resources.releaseLoad();
	}

	/** Cancels the transmission; nothing is handled any more. */
	cancel(): void {
		this.running?.cancel();
	}

	onHead(head: ResponseHead): void {
		this.response.head = head;
		this.handler.handleHead(this, head);
	}

	onData(chunk: Uint8Array): void {
		this.handler.handleData(this, chunk);
	}

	onEnd(): void {
		this.handler.handleEnd(this);
	}

	onFailure(failure: AttemptFailure): void {
		this.handler.handleFailure(this, failure);
	}
}
