import * as z from 'zod';
import {tablePositionSchema} from './table-position.js';

const tableRowSchema = z.object({
	key: z.string(),
	/** Number of the transaction that last wrote or deleted the row. */
	transaction: z.number(),
	/** Content of the row; undefined if it was deleted. */
	text: z.string().optional(),
});

/** Schema of an update. */
export const tableUpdateSchema = z.object({
	/** The update applies to copies at this position or a later one of the same era; undefined if it is the whole table. */
	since: tablePositionSchema.optional(),
	/** Position that the copy has afterwards. */
	position: tablePositionSchema,
	rows: z.array(tableRowSchema),
});

/** A row of a replicated table. */
export type TableRow = z.infer<typeof tableRowSchema>;

/** The rows of a table that changed between two positions, or the whole table. */
export type TableUpdate = z.infer<typeof tableUpdateSchema>;
