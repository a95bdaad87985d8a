import * as z from 'zod';

/** Schema of a position. */
export const tablePositionSchema = z.object({
	/** Rises when the store lost its newest history, after which transaction numbers are issued again. */
	era: z.number(),
	/** Number of the newest transaction that is reflected. */
	transaction: z.number(),
});

/** A point in the history of the store. */
export type TablePosition = z.infer<typeof tablePositionSchema>;

/** Whether the first position is later than the second; any position is later than none. */
export function isLater(first: TablePosition, second: TablePosition | undefined): boolean {
	return !second || first.era > second.era || (first.era === second.era && first.transaction > second.transaction);
}

/** Whether both are the same point in the history of the store. */
export function isSamePosition(first: TablePosition, second: TablePosition | undefined): boolean {
	return first.era === second?.era && first.transaction === second.transaction;
}
