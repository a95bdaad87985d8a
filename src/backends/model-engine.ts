import {type Attempt} from './attempt.js';
import {type AttemptHandle} from './attempt-handle.js';
import {type AttemptSink} from './attempt-sink.js';
import {type CacheEvent} from './cache-event.js';
import {type EngineOrder} from './engine-order.js';
import {type LoadReport} from './load-report.js';
import {type Stage} from './stage.js';
import {type StageStatus} from './stage-status.js';

/** Interface to model engines. Extend this class to support another engine. */
export abstract class ModelEngine {
	/** Starts an attempt and streams its tokens from the last stage to the sink. */
	abstract run(attempt: Attempt, sink: AttemptSink): AttemptHandle;

	/**
	Resumes the token stream of a running attempt over a new connection.

	@param from - index of the first token to be sent
	*/
	abstract attach(attempt: Attempt, from: number, sink: AttemptSink): AttemptHandle;

	/** Cancels an attempt at all its stages. Failures are ignored, because engines drop attempts that nobody reads. */
	abstract cancel(attempt: Attempt): Promise<void>;

	/**
	Queries the progress of an attempt at a stage over a new connection.

	@param timeout - milliseconds
	@returns undefined if the server does not respond
	*/
	abstract inspect(request: string, attempt: number, stage: Stage, timeout: number): Promise<StageStatus | undefined>;

	/** Reads the cache events of a server after a sequence number; they arrive late and with gaps. Rejects if the server does not respond within the timeout in milliseconds. */
	abstract readCacheEvents(address: string, after: number, timeout: number): Promise<readonly CacheEvent[]>;

	/** Reads the load of a server. Rejects if it does not respond within the timeout in milliseconds. */
	abstract readLoad(address: string, timeout: number): Promise<LoadReport>;

	/** Sends an order to a server. Resolves to whether the server accepted it; rejects if it does not respond within the timeout in milliseconds. */
	abstract sendOrder(address: string, order: EngineOrder, timeout: number): Promise<boolean>;

	/** Reads the current state of a server; undefined if it does not respond within the timeout in milliseconds. */
	abstract readState(address: string, timeout: number): Promise<EngineOrder | undefined>;

	/** Copies the KV cache of a request from one stage to another with the same layer range. Resolves to the number of token positions copied; rejects if that takes longer than the timeout in milliseconds. */
	abstract copyCache(request: string, from: Stage, to: Stage, timeout: number): Promise<number>;
}
