import * as z from 'zod';
import {FinishReason} from './finish-reason.js';
import {receiptSchema} from './receipt.js';

/** Schema of a frame. */
export const frameSchema = z.object({
	attempt: z.number().int(),
	/** Position of the token in the answer, from 0. */
	index: z.number().int(),
	text: z.string(),
	receipts: z.array(receiptSchema),
	/** Set on the last token. */
	finish: z.enum(FinishReason).optional(),
});

/** One token of an attempt, with the receipts of the stages that ran their layers for it. */
export type Frame = z.infer<typeof frameSchema>;
