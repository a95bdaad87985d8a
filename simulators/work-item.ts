import * as z from 'zod';
import {Priority} from '../src/configuration/priority.js';
import {receiptSchema} from '../src/backends/receipt.js';
import {stageSchema} from '../src/backends/stage.js';

/** Schema of an attempt that a router starts. */
export const attemptSchema = z.object({
	request: z.string(),
	number: z.number(),
	route: z.array(stageSchema),
	prompt: z.string(),
	generated: z.array(z.string()),
	maximumTokens: z.number(),
	priority: z.enum(Priority),
});

/** Schema of a work item that one stage sends to the next: the positions of an attempt that must run next. */
export const workItemSchema = z.object({
	attempt: attemptSchema,
	/** Index in the route of the stage that must run the item. */
	stage: z.number(),
	/** Index of the token that the item produces. */
	index: z.number(),
	/** First position that each stage must run; earlier ones are in its KV cache. */
	starts: z.array(z.number()),
	/** Position after the last one to run. */
	end: z.number(),
	/** Next layer to run. */
	layer: z.number(),
	/** Result of the layers that have run. */
	state: z.number(),
	receipts: z.array(receiptSchema),
});

export type EngineAttempt = z.infer<typeof attemptSchema>;
export type WorkItem = z.infer<typeof workItemSchema>;

const charactersPerToken = 4;

/** Counts the positions of an attempt before its next token: prompt and tokens generated so far. */
export function countPositions({prompt, generated}: EngineAttempt): number {
	return Math.max(1, Math.ceil(prompt.length / charactersPerToken)) + generated.length;
}

/** Formats the key under which engines store an attempt. */
export function formatAttemptKey({request, number}: {readonly request: string; readonly number: number}): string {
	return `${request}/${number}`;
}

/** Creates the work item of the next token from that of a token which is done. */
export function createNextWorkItem(work: WorkItem): WorkItem {
	return {
		...work,
		stage: 0,
		index: work.index + 1,
		starts: work.attempt.route.map(() => work.end),
		end: work.end + 1,
		layer: 0,
		state: 1,
		receipts: [],
	};
}
