/** One row of the platform's table. */
export type Row = {
	readonly key: string;
	/** Rises with every write of the row; 0 stands for a row that does not exist. */
	readonly version: number;
	/** JSON text. */
	readonly value: string;
	/** The table's own steady clock at the reading, in milliseconds; undefined where it has none. */
	readonly tableNow?: number;
};
