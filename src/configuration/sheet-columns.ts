/** The columns of a sheet, in the order of the samples. */
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

/** Name of a sheet column. */
export type SheetColumn = typeof sheetColumns[number];
