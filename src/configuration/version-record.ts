import * as z from 'zod';
import {sheetDifferenceSchema} from './sheet-difference.js';

/** Checks the record of an accepted sheet. */
export const versionRecordSchema = z.object({
	version: z.number().int(),
	/** Digest of the whole sheet of this version. */
	digest: z.string(),
	/** Identifies the submission, so that its author knows it again after a lost answer. */
	submission: z.string(),
	/** Who submitted it. */
	planner: z.string(),
	/** Wall-clock time in milliseconds. */
	at: z.number(),
	/** What it changed in the version before. */
	difference: sheetDifferenceSchema,
});

/** The record of an accepted sheet. */
export type VersionRecord = z.infer<typeof versionRecordSchema>;
