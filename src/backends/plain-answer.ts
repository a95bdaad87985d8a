import * as z from 'zod';

/** Checks a plain service's answer. */
export const plainAnswerSchema = z.object({
	status: z.number().int(),
	contentType: z.string(),
	body: z.string(),
});

/** A plain service's answer to one call. */
export type PlainAnswer = z.infer<typeof plainAnswerSchema>;
