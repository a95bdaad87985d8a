import * as z from 'zod';
import {computeDifference, sheetDifferenceSchema} from './sheet-difference.js';
import {type Configuration} from './configuration.js';

/** Schema of a configuration update between peers. */
export const configurationUpdateSchema = z.object({
	version: z.number().int(),
	/** Digest of the whole sheet of this version. */
	digest: z.string(),
	/** Version to which the difference applies; 0 for the empty sheet. */
	base: z.number().int(),
	difference: sheetDifferenceSchema,
});

/** What an instance sends to a peer that has an older configuration. */
export type ConfigurationUpdate = z.infer<typeof configurationUpdateSchema>;

/** Creates the update from a base configuration to a newer one. */
export function createConfigurationUpdate(base: Configuration, newer: Configuration): ConfigurationUpdate {
	return {
		version: newer.version,
		digest: newer.sheet.digest,
		base: base.version,
		difference: computeDifference(base.sheet, newer.sheet),
	};
}
