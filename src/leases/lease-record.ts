import * as z from 'zod';

/** Schema of the row of a lease. */
export const leaseRecordSchema = z.object({
	/** Id of the process that holds the lease. */
	holder: z.string(),
	/** Fencing number; increases by one with each new holder. */
	fencing: z.number().int(),
	/** Time of the last renewal on the table's monotonic clock, in milliseconds; 0 if the holder released the lease. */
	renewedAt: z.number().optional(),
});

/** The row of a lease in the platform's table. The row version increases with each renewal. */
export type LeaseRecord = z.infer<typeof leaseRecordSchema>;

/** Returns the key of the row of a lease. */
export function leaseRowKey(name: string): string {
	return `lease/${name}`;
}
