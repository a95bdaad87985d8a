/** A part of the input of a connection that is parsed in one step. */
export type InputSlice = {
	readonly bytes: Uint8Array;
	readonly lines: number;
};

/** Largest number of bytes of a slice. */
const maxSliceBytes = 2048;
const lineFeed = 0x0A;
const carriageReturn = 0x0D;
/** Bytes of a line break. */
const breakBytes = 2;
/** Work of parsing a slice at all, and bytes whose work is that of a line. */
const workPerSlice = 4;
const bytesPerWork = 256;

/** Whether a line feed ends an empty line, as at the end of a head. */
function endsEmptyLine(bytes: Uint8Array, index: number): boolean {
	return bytes[index - 1] === carriageReturn && bytes[index - breakBytes] === lineFeed;
}

/** Returns the slice that begins at an offset. It has the end of one head at most, so that the requests of one read can be counted one by one. */
export function findSlice(bytes: Uint8Array, offset: number): InputSlice {
	const slice = bytes.subarray(offset, offset + maxSliceBytes);
	let lines = 0;
	for (let index = slice.indexOf(lineFeed); index !== -1; index = slice.indexOf(lineFeed, index + 1)) {
		lines++;
		if (endsEmptyLine(slice, index)) {
			return {bytes: slice.subarray(0, index + 1), lines};
		}
	}

	return {bytes: slice, lines};
}

/** Returns the work of parsing a slice, in units of the work of one line. The parser has an event for each field and for each chunk, and each of these has a line. */
export function computeSliceWork({bytes, lines}: InputSlice): number {
	return workPerSlice + lines + Math.floor(bytes.length / bytesPerWork);
}
