import {type Context} from '@opentelemetry/api';
import {type Priority} from '../configuration/priority.js';
import {type Service, type Workspace} from '../configuration/sheet-row.js';

/** A request for a completion by a model. */
export type CompletionRequest = {
	/** Id of the request. */
	readonly id: string;
	readonly workspace: Workspace;
	readonly service: Service;
	readonly prompt: string;
	/** Number of prompt tokens that is charged. */
	readonly promptTokens: number;
	readonly maximumTokens: number;
	readonly priority: Priority;
	/** Monotonic time in milliseconds by which the answer must be complete. */
	readonly deadline: number;
	/** Trace context of the request's root span. */
	readonly context: Context;
};
