import {StringDecoder} from 'node:string_decoder';

/** Splits a byte stream into lines. */
export class LineSplitter {
	private readonly decoder = new StringDecoder('utf8');
	private incompleteLine = '';

	/** Adds a chunk and returns the lines that it completes. */
	push(chunk: Uint8Array): readonly string[] {
		const lines = (this.incompleteLine + this.decoder.write(chunk)).split('\n');
		this.incompleteLine = lines.pop() ?? '';
		return lines;
	}
}
