import {type Route} from '../catalog/route.js';
import {type Service} from '../catalog/service.js';

/** A caller's request that was accepted for relaying. */
export type RelayRequest = {
	/** The caller's id of this attempt at its request. */
	readonly id: string;
	readonly method: string;
	/** Path and query as the caller sent them. */
	readonly target: string;
	/** Headers to forward, as alternating names and values. */
	readonly headers: readonly string[];
	readonly body: Uint8Array;
	readonly route: Route;
	readonly service: Service;
	/** Undefined if the request needs no API key. */
	readonly workspace?: string;
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Monotonic time in milliseconds. */
	readonly arrivedAt: number;
	/** Monotonic time in milliseconds by which the final reply is due. */
	readonly deadline: number;
	readonly promptTokens: number;
	/** Upper bound on the tokens of the answer. */
	readonly maxAnswerTokens: number;
	/** The caller's own estimate of the tokens of the answer; undefined if it sent none. */
	readonly answerEstimate?: number;
	/** Ids of the prompt parts that the request shares with others. */
	readonly promptParts: readonly string[];
	/** Equal for equal requests of one caller. */
	readonly fingerprint: string;
	/** Id of the last event that the caller received from an earlier request. */
	readonly lastEventId?: number;
};
