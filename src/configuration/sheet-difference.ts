import * as z from 'zod';
import {getRowKey, sheetRowSchema} from './sheet-row.js';
import {serializeRow, Sheet} from './sheet.js';

/** Checks a difference. */
export const sheetDifferenceSchema = z.object({
	put: z.array(sheetRowSchema),
	/** Keys of rows that are no more. */
	removed: z.array(z.string()),
});

/** What turns one version of the sheet into the next. */
export type SheetDifference = z.infer<typeof sheetDifferenceSchema>;

/** The difference that turns the older sheet into the newer one. */
export function computeDifference(older: Sheet, newer: Sheet): SheetDifference {
	const put = [...newer.rows].filter(([key, row]) => {
		const known = older.rows.get(key);
		return !known || serializeRow(known) !== serializeRow(row);
	});
	return {
		put: put.map(([, row]) => row),
		removed: [...older.rows.keys()].filter(key => !newer.rows.has(key)),
	};
}

/** The sheet that the difference makes of an older one. */
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
