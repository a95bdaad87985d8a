import * as z from 'zod';
import {getRowKey, sheetRowSchema} from './sheet-row.js';
import {serializeRow, Sheet} from './sheet.js';

/** Schema of a difference between two sheets. */
export const sheetDifferenceSchema = z.object({
	/** Rows that were added or changed. */
	put: z.array(sheetRowSchema),
	/** Keys of the removed rows. */
	removed: z.array(z.string()),
});

/** The row changes that turn one sheet into another. */
export type SheetDifference = z.infer<typeof sheetDifferenceSchema>;

/** Computes the difference that turns the older sheet into the newer one. */
export function computeDifference(older: Sheet, newer: Sheet): SheetDifference {
	const put = [...newer.rows].filter(([key, row]) => {
		const previous = older.rows.get(key);
		return !previous || serializeRow(previous) !== serializeRow(row);
	});
	return {
		put: put.map(([, row]) => row),
		removed: [...older.rows.keys()].filter(key => !newer.rows.has(key)),
	};
}

/** Returns the sheet that results from applying a difference to an older one. */
export function applyDifference(older: Sheet, difference: SheetDifference): Sheet {
	const rows = new Map(older.rows);
	for (const key of difference.removed) {
		rows.delete(key);
	}

	for (const row of difference.put) {
		rows.set(getRowKey(row), row);
	}

	return new Sheet(rows.values());
}
