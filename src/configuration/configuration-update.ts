import * as z from 'zod';
import {computeDifference, sheetDifferenceSchema} from './sheet-difference.js';
import {type Configuration} from './configuration.js';

/** Checks an update. */
export const configurationUpdateSchema = z.object({
	version: z.number().int(),
	/** Digest of the whole sheet of this version. */
	digest: z.string(),
	/** Version on which the difference stands; 0 for the empty sheet. */
	base: z.number().int(),
	difference: sheetDifferenceSchema,
});

/** What an instance sends to another whose configuration is older. */
export type ConfigurationUpdate = z.infer<typeof configurationUpdateSchema>;

/** The update from a known configuration to a newer one. */
export function createConfigurationUpdate(base: Configuration, newer: Configuration): ConfigurationUpdate {
	return {
		version: newer.version,
		digest: newer.sheet.digest,
		base: base.version,
		difference: computeDifference(base.sheet, newer.sheet),
	};
}
