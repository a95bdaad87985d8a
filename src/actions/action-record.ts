import * as z from 'zod';
import {plainAnswerSchema} from '../backends/plain-answer.js';
import {ActionState} from './action-state.js';

/** Schema of the row of a one-time action. */
export const actionRecordSchema = z.object({
	state: z.enum(ActionState),
	/** Digest of service, operation and body; a different digest under the same key is a conflict. */
	fingerprint: z.string(),
	/** Identifies one run of one request at one instance, to distinguish its own writes from those of others. */
	attempt: z.string(),
	/** Id of the instance that wrote the record. */
	holder: z.string(),
	/** Wall-clock time of the last step in milliseconds since 1970; not used for safety. */
	at: z.number(),
	answer: plainAnswerSchema.optional(),
});

/** The row of a one-time action in the platform table. */
export type ActionRecord = z.infer<typeof actionRecordSchema>;
