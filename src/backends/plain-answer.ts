import * as z from 'zod';

/** Schema of the answer of a plain service. */
export const plainAnswerSchema = z.object({
	status: z.number().int(),
	contentType: z.string(),
	body: z.string(),
});

/** The answer of a plain service to one call. */
export type PlainAnswer = z.infer<typeof plainAnswerSchema>;
