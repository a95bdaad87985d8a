import {type LoadReading} from '../pipelines/server-load.js';

/** The head of a backend server's answer, decoded. */
export type ResponseHead = {
	readonly status: number;
	/** Names and values in turn, without those that concern only one connection. */
	readonly headers: readonly string[];
	/** Id of the request that it answers; undefined where it names none. */
	readonly requestId?: string;
	/** Whether the backend server signed it. */
	readonly isSigned: boolean;
	/** Whether the backend server says that it did not run the request. */
	readonly isNotExecuted: boolean;
	/** Whether the answer says where its body ends; otherwise it ends with the connection, and nobody can tell whether it is whole. */
	readonly isSelfDelimited: boolean;
	/** Whether the body was encoded on the way, so that it is not the backend server's. */
	readonly hasContentEncoding: boolean;
	/** Address of the stage that is at fault; undefined where none is named. */
	readonly faultyStageAddress?: string;
	/** What the backend server tells of its load. */
	readonly load?: LoadReading;
};
