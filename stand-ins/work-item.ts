import * as z from 'zod';
import {Priority} from '../src/configuration/priority.js';
import {receiptSchema} from '../src/backends/receipt.js';
import {stageSchema} from '../src/backends/stage.js';

/** Checks the attempt that a router starts. */
export const attemptSchema = z.object({
	request: z.string(),
	number: z.number(),
	route: z.array(stageSchema),
	prompt: z.string(),
	generated: z.array(z.string()),
	maximumTokens: z.number(),
	priority: z.enum(Priority),
});

/** Checks a piece of work that stages hand on: the positions of one attempt that are to run next. */
export const workItemSchema = z.object({
	attempt: attemptSchema,
	/** Position in the route of the stage that runs it next. */
	stage: z.number(),
	/** Index of the token that comes of it. */
	index: z.number(),
	/** First position for each stage; those before are in its KV cache. */
	starts: z.array(z.number()),
	/** Position after the last one. */
	end: z.number(),
	/** Layer that runs next. */
	layer: z.number(),
	state: z.number(),
	receipts: z.array(receiptSchema),
});

export type EngineAttempt = z.infer<typeof attemptSchema>;
export type WorkItem = z.infer<typeof workItemSchema>;

const charactersPerToken = 4;

/** Number of positions of an attempt before its next token. */
export function countPositions({prompt, generated}: EngineAttempt): number {
	return Math.max(1, Math.ceil(prompt.length / charactersPerToken)) + generated.length;
}

/** The key of an attempt at an engine. */
export function formatAttemptKey({request, number}: {readonly request: string; readonly number: number}): string {
	return `${request}/${number}`;
}

/** The work for the token after the one that a piece of work came to. */
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
