/** How an instance wants large rows to be sent; one of an earlier build can read neither form. */
export enum RowPacking {
	/** Compressed. */
	Whole = 'whole',
	/** Compressed, and without what an earlier version of the row already has. */
	Delta = 'delta',
}
