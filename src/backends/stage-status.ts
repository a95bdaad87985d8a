import * as z from 'zod';

/** Checks a stage's status. */
export const stageStatusSchema = z.object({
	/** Whether the server knows the attempt. */
	isKnown: z.boolean(),
	/** Batches of the attempt that reached the server. */
	received: z.number().int(),
	/** Batches of the attempt that it ran and handed on. */
	forwarded: z.number().int(),
	/** Tokens that it put into its answer stream; 0 except at the last stage. */
	emitted: z.number().int(),
});

/** How far an attempt has come at one stage. */
export type StageStatus = z.infer<typeof stageStatusSchema>;
