import {type LoadReading} from '../pipelines/server-load.js';

/** The decoded head of a backend server's response. */
export type ResponseHead = {
	readonly status: number;
	/** Headers without the hop-by-hop ones, as alternating names and values. */
	readonly headers: readonly string[];
	/** Id of the request that the response belongs to; undefined if it carries none. */
	readonly requestId?: string;
	/** Whether the backend server signed the response. */
	readonly isSigned: boolean;
	/** Whether the backend server states that it did not execute the request. */
	readonly isNotExecuted: boolean;
	/** Whether the headers tell where the body ends; otherwise the end of the connection delimits it, and a truncated body can't be detected. */
	readonly isSelfDelimited: boolean;
	/** Whether the body has a content encoding, so that its bytes are not those of the backend server. */
	readonly hasContentEncoding: boolean;
	/** Address of the stage at fault; undefined if the response names none. */
	readonly faultyStageAddress?: string;
	/** Whether the backend server says that it is leaving. */
	readonly isLeaving: boolean;
	/** Milliseconds for which the backend server wants no requests of this instance; undefined if it did not say so. */
	readonly pause?: number;
	/** Requests per second that the backend server accepts from all instances together; undefined if it names no limit. */
	readonly requestLimit?: number;
	/** The load that the backend server reports. */
	readonly load?: LoadReading;
};
