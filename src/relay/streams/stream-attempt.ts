import {type BackendServer} from '../../pipelines/backend-server.js';
import {type LoadHandle} from '../../pipelines/load-handle.js';
import {type Pipeline} from '../../pipelines/pipeline.js';
import {type AttemptCrashEvidence} from '../attempt-crash-evidence.js';
import {type AttemptFailure} from '../attempt-failure.js';
import {type RunningAttempt} from '../backend-client.js';
import {type ResponseHead} from '../response-head.js';
import {ResponseListener} from '../response-listener.js';
import {type StreamResponse} from './stream-response.js';

/** Handles what is received of the attempts of a stream. */
export type StreamAttemptHandler = {
	receiveHead(attempt: StreamAttempt, head: ResponseHead): void;
	receiveData(attempt: StreamAttempt, chunk: Uint8Array): void;
	/** Handles the end of a complete response. */
	receiveEnd(attempt: StreamAttempt): void;
	/** Handles an attempt that ended without a complete response. */
	receiveFailure(attempt: StreamAttempt, failure: AttemptFailure): void;
};

/** What an attempt begins with. */
export type StreamAttemptStart = {
	/** 1 for the first attempt of the stream. */
	readonly number: number;
	readonly pipeline: Pipeline;
	/** Monotonic time in milliseconds. */
	readonly sentAt: number;
	readonly response: StreamResponse;
	readonly crashEvidence: AttemptCrashEvidence;
	/** Holds the load of the attempt on its pipeline. */
	readonly holdLoad: () => LoadHandle;
};

/** One attempt of a stream exchange: where it was sent, what it holds there, and what was received. */
export class StreamAttempt extends ResponseListener {
	/** Why another attempt was sent as well; undefined unless this one is silent. */
	silenceReason?: string;
	private running?: RunningAttempt;
	private load?: LoadHandle;

	constructor(private readonly fields: StreamAttemptStart, private readonly handler: StreamAttemptHandler) {
		super();
	}

	get number(): number {
		return this.fields.number;
	}

	get pipeline(): Pipeline {
		return this.fields.pipeline;
	}

	get firstServer(): BackendServer {
		return this.fields.pipeline[0].server;
	}

	/** Monotonic time in milliseconds. */
	get sentAt(): number {
		return this.fields.sentAt;
	}

	get response(): StreamResponse {
		return this.fields.response;
	}

	get crashEvidence(): AttemptCrashEvidence {
		return this.fields.crashEvidence;
	}

	/** Monotonic time in milliseconds at which the last event was received, or the attempt was sent. */
	get lastReceivedAt(): number {
		return this.response.lastReceivedAt ?? this.sentAt;
	}

	/** The transmission; undefined before it starts. */
	get transmission(): RunningAttempt | undefined {
		return this.running;
	}

	/** Records the transmission of the attempt, and the start of its load. */
	begin(running: RunningAttempt, load: LoadHandle): void {
		this.running = running;
		this.load = load;
	}

	/** Changes the tokens that the attempt is expected to hold. */
	updateLoad(tokens: number): void {
		this.load?.update(tokens);
	}

	/** Ends the transmission and the load; nothing is received any more. */
	cancel(): void {
		this.running?.cancel();
		this.release();
	}

	/** Ends the load. */
	release(): void {
		this.load?.release();
		this.load = undefined;
	}

	/** Records that the attempt was lost, at a monotonic time in milliseconds. One that was silent before counts as silent only, since it is no further sign of a crash. */
	recordLoss(now: number): void {
		if (this.silenceReason === undefined) {
			this.crashEvidence.recordLoss(this.firstServer, now);
		} else {
			this.crashEvidence.recordSilence(this.firstServer);
		}
	}

	/** Selects something while the load of this attempt does not count. */
	selectWithoutLoad<T>(select: () => T): T {
		this.load?.release();
		const selected = select();
		this.load = this.fields.holdLoad();
		return selected;
	}

	onHead(head: ResponseHead): void {
		this.handler.receiveHead(this, head);
	}

	onData(chunk: Uint8Array): void {
		this.handler.receiveData(this, chunk);
	}

	onEnd(): void {
		this.handler.receiveEnd(this);
	}

	onFailure(failure: AttemptFailure): void {
		this.handler.receiveFailure(this, failure);
	}
}
