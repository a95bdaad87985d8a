import * as z from 'zod';
import {plainAnswerSchema} from '../backends/plain-answer.js';
import {ActionState} from './action-state.js';

/** Checks the row of a one-time action. */
export const actionRecordSchema = z.object({
	state: z.enum(ActionState),
	/** Digest of service, operation and body; another body under the same key is a conflict. */
	fingerprint: z.string(),
	/** Identifies one run of one request at one instance; tells own writes from others'. */
	attempt: z.string(),
	/** Id of the instance that holds it. */
	holder: z.string(),
	/** Wall-clock time of the last step in milliseconds; not used for safety. */
	at: z.number(),
	answer: plainAnswerSchema.optional(),
});

/** The row of a one-time action in the platform's table. */
export type ActionRecord = z.infer<typeof actionRecordSchema>;
