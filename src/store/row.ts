/** A row of the platform's table. */
export type Row = {
	readonly key: string;
	/** Increases with every write of the row; 0 means that the row does not exist. */
	readonly version: number;
	/** JSON text. */
	readonly value: string;
	/** The table's own monotonic clock at the time of the read, in milliseconds; undefined if it has none. */
	readonly tableNow?: number;
};
