import * as z from 'zod';

/** Checks the row of a lease. */
export const leaseRecordSchema = z.object({
	/** The process that holds it. */
	holder: z.string(),
	/** Rises by one with each new holder. */
	fencing: z.number().int(),
	/** The table's steady clock at the last renewal, in milliseconds; 0 where the holder gave it up. */
	renewedAt: z.number().optional(),
});

/** The row of a lease in the platform's table. Its row version rises with each renewal. */
export type LeaseRecord = z.infer<typeof leaseRecordSchema>;

/** The key of the row of a lease. */
export function leaseRowKey(name: string): string {
	return `lease/${name}`;
}
