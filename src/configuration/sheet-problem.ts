/** One error of a sheet, with its place. */
export type SheetProblem = {
	/** Line of the file, from 1. */
	readonly line: number;
	readonly column: string;
	readonly message: string;
};
