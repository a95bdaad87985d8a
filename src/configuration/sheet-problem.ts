/** One error in a sheet, with its position. */
export type SheetProblem = {
	/** Line in the file, counted from 1. */
	readonly line: number;
	/** Column name; empty if the problem concerns the whole row or file. */
	readonly column: string;
	readonly message: string;
};
