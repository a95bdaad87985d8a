import {type Route} from '../catalog/route.js';
import {type Service} from '../catalog/service.js';

/** A caller's request that was accepted for relaying. */
export type RelayRequest = {
	/** The caller's id of this sending of its request. */
	readonly id: string;
	readonly method: string;
	/** Path and query as the caller sent them. */
	readonly target: string;
	/** Names and values in turn, to be passed on. */
	readonly headers: readonly string[];
	readonly body: Uint8Array;
	readonly route: Route;
	readonly service: Service;
	/** Undefined where callers need no keys. */
	readonly workspace?: string;
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Monotonic time in milliseconds. */
	readonly arrivedAt: number;
	/** Monotonic time in milliseconds at which the final answer is due. */
	readonly deadline: number;
	readonly promptTokens: number;
	/** The most tokens of the answer. */
	readonly maxAnswerTokens: number;
	/** Id of the last event that the caller has from an earlier request. */
	readonly lastEventId?: number;
};
