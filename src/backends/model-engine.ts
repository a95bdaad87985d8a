import {type Attempt} from './attempt.js';
import {type AttemptHandle} from './attempt-handle.js';
import {type AttemptSink} from './attempt-sink.js';
import {type CacheEvent} from './cache-event.js';
import {type EngineOrder} from './engine-order.js';
import {type LoadReport} from './load-report.js';
import {type Stage} from './stage.js';
import {type StageStatus} from './stage-status.js';

/** All that the system asks of model engines. Another engine is fitted by extending this class. */
export abstract class ModelEngine {
	/** Starts an attempt and streams its tokens from the last stage. */
	abstract run(attempt: Attempt, sink: AttemptSink): AttemptHandle;

	/**
	Streams the tokens of a running attempt again, over a new connection.

	@param from - index of the first token wanted
	*/
	abstract attach(attempt: Attempt, from: number, sink: AttemptSink): AttemptHandle;

	/** Cancels an attempt at all its stages; failures are ignored, as the engines drop what nobody reads. */
	abstract cancel(attempt: Attempt): Promise<void>;

	/**
	Asks over a new connection how far an attempt has come at a stage.

	@param limit - milliseconds
	@returns undefined where the server gives no answer
	*/
	abstract inspect(request: string, attempt: number, stage: Stage, limit: number): Promise<StageStatus | undefined>;

	/** A server's cache events after a sequence number; late, and with gaps. Rejects where it gives no answer. */
	abstract readCacheEvents(address: string, after: number, limit: number): Promise<readonly CacheEvent[]>;

	/** A server's load. Rejects where it gives no answer. */
	abstract readLoad(address: string, limit: number): Promise<LoadReport>;

	/** Orders a state of a server. Resolves to whether the server took it. */
	abstract sendOrder(address: string, order: EngineOrder, limit: number): Promise<boolean>;

	/** Reads back the state that a server has; undefined where it gives no answer. */
	abstract readState(address: string, limit: number): Promise<EngineOrder | undefined>;

	/** Copies the KV cache of a request from one stage to another that holds the same range. Resolves to the positions copied. */
	abstract copyCache(request: string, from: Stage, to: Stage, limit: number): Promise<number>;
}
