import {type Context} from '@opentelemetry/api';
import {type Priority} from '../configuration/priority.js';
import {type Service, type Workspace} from '../configuration/sheet-row.js';

/** A request for an answer of a model. */
export type CompletionRequest = {
	/** Id of the request. */
	readonly id: string;
	readonly workspace: Workspace;
	readonly service: Service;
	readonly prompt: string;
	/** Tokens of the prompt, as they are charged. */
	readonly promptTokens: number;
	readonly maximumTokens: number;
	readonly priority: Priority;
	/** Monotonic time in milliseconds. */
	readonly deadline: number;
	/** Trace context of the request's entry span. */
	readonly context: Context;
};
