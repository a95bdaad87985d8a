import * as z from 'zod';

/** Schema of a load report. */
export const loadReportSchema = z.object({
	/** Digest of the id of the reporting instance; undefined if the report sums up all instances of an availability zone. */
	instance: z.string().optional(),
	/** The availability zone whose instances are summed up. */
	availabilityZone: z.string().optional(),
	/** Milliseconds since the load was measured. */
	age: z.number().nonnegative(),
	/** Packed tokens that running requests hold, by digest of the backend server's incarnation. */
	tokens: z.string(),
});

/** The load that one instance, or all instances of one availability zone, put on the backend servers. */
export type LoadReport = z.infer<typeof loadReportSchema>;

/** Unit in which tokens are packed. */
export const packedTokensUnit = 20;
