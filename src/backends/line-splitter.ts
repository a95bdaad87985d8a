import {StringDecoder} from 'node:string_decoder';

/** Splits a byte stream into lines. */
export class LineSplitter {
	private readonly decoder = new StringDecoder('utf8');
	private rest = '';

	/** The lines that the chunk completes. */
	push(chunk: Uint8Array): readonly string[] {
		const lines = (this.rest + this.decoder.write(chunk)).split('\n');
		this.rest = lines.pop() ?? '';
		return lines;
	}
}
