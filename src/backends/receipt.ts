import * as z from 'zod';

/** Schema of a receipt. */
export const receiptSchema = z.object({
	/** Position of the stage in the route, from 0. */
	stage: z.number().int(),
	firstLayer: z.number().int(),
	/** End of the layer range, exclusive. */
	endLayer: z.number().int(),
	version: z.string(),
});

/** The layer range and model version that a stage reports to have run for one token. */
export type Receipt = z.infer<typeof receiptSchema>;
