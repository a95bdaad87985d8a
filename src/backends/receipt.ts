import * as z from 'zod';

/** Checks a receipt. */
export const receiptSchema = z.object({
	/** Position of the stage in the route, from 0. */
	stage: z.number().int(),
	firstLayer: z.number().int(),
	/** Layer after the last one. */
	endLayer: z.number().int(),
	version: z.string(),
});

/** What a stage says it ran for one token. */
export type Receipt = z.infer<typeof receiptSchema>;
