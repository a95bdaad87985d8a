/** The columns of a sheet, in the order in which samples have them. */
export const sheetColumns = [
	'kind',
	'name',
	'service',
	'priority',
	'share_percent',
	'tokens_per_minute',
	'concurrent_streams',
	'key_digest',
	'model',
	'layers',
	'version',
	'idempotent',
	'checks_orders',
] as const;

/** A column of a sheet. */
export type SheetColumn = typeof sheetColumns[number];
