/** Pieces that a body may consist of whatever their size. */
const freePieces = 4096;
/** Mean size of pieces from which their number is not limited. */
const minBytesPerPiece = 8;

/** Tells whether a body arrives in more pieces than a body of its size needs. Each piece takes processing time, even if it is empty. */
export class PieceLimit {
	private pieces = 0;
	private bytes = 0;

	/** Whether there are too many small pieces. */
	get isExceeded(): boolean {
		return this.pieces > freePieces + (this.bytes / minBytesPerPiece);
	}

	/** Counts a piece with a number of bytes. */
	add(bytes: number): void {
		this.pieces++;
		this.bytes += bytes;
	}
}
