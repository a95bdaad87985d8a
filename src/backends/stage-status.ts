import * as z from 'zod';

/** Schema of the status of a stage. */
export const stageStatusSchema = z.object({
	/** Whether the server knows the attempt. */
	isKnown: z.boolean(),
	/** Number of batches of the attempt that reached the server. */
	received: z.number().int(),
	/** Number of batches of the attempt that the server ran and forwarded. */
	forwarded: z.number().int(),
	/** Number of tokens that the server wrote to its answer stream; 0 except at the last stage. */
	emitted: z.number().int(),
});

/** Progress of an attempt at one stage. */
export type StageStatus = z.infer<typeof stageStatusSchema>;
