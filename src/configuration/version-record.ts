import * as z from 'zod';
import {sheetDifferenceSchema} from './sheet-difference.js';

/** Schema of the stored record of one accepted version. */
export const versionRecordSchema = z.object({
	version: z.number().int(),
	/** Digest of the whole sheet of this version. */
	digest: z.string(),
	/** Id of the submission. After a lost response, a retry finds its own record by this id. */
	submission: z.string(),
	/** Name of the planner who submitted the sheet. */
	planner: z.string(),
	/** Wall-clock time of acceptance, in milliseconds since 1970. */
	at: z.number(),
	/** Difference from the previous version. */
	difference: sheetDifferenceSchema,
});

/** The stored record of one accepted version: who submitted it, when, and what changed. */
export type VersionRecord = z.infer<typeof versionRecordSchema>;
