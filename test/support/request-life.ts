import {type RequestPlan} from './request-plan.js';

/** How a connection ended, as its caller saw it. */
export enum ConnectionEnd {
	/** The instance had read all that was sent. */
	Closed = 'closed',
	/** The instance had not read all that was sent, or did not want it to look complete. */
	Reset = 'reset',
	/** The caller closed it. */
	Left = 'left',
}

/** What a caller saw of a request. Times are monotonic, in milliseconds. */
export type RequestLife = {
	readonly plan: RequestPlan;
	readonly instance: string;
	/** Number of the request on its connection, from 1. */
	readonly position: number;
	/** When the last byte was written to the connection; undefined if it closed before. */
	sentAt?: number;
	/** When the reply was complete, or the connection had ended, or the caller left. */
	endedAt: number;
	status?: number;
	/** Whether the whole reply arrived. */
	isComplete: boolean;
	/** Whether the reply is the whole answer of a backend server. */
	isAnswer: boolean;
	receivedBytes: number;
	/** The beginning of a body that is not the answer. */
	text: string;
	/** How the connection ended before the reply was complete. */
	connectionEnd?: ConnectionEnd;
};
