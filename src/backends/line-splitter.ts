import {StringDecoder} from 'node:string_decoder';
import {PieceLimit} from '../network/piece-limit.js';

/** Characters of the longest line. */
const maxLineLength = 1_048_576;

/** Splits a byte stream into lines. */
export class LineSplitter {
	private readonly decoder = new StringDecoder('utf8');
	private readonly pieceLimit = new PieceLimit();
	private incompleteLine = '';

	/**
	Adds a chunk and returns the lines that it completes.

	@throws RangeError if a line has no end
	*/
	push(chunk: Uint8Array): readonly string[] {
		this.pieceLimit.add(chunk.length);
		const lines = (this.incompleteLine + this.decoder.write(chunk)).split('\n');
		this.incompleteLine = lines.pop() ?? '';
		if (this.incompleteLine.length > maxLineLength || this.pieceLimit.isExceeded) {
			throw new RangeError('a line has no end, or arrives in too many small pieces');
		}

		return lines;
	}
}
