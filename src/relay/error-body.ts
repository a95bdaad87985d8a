/** Longest body of an error response that is passed on. */
const maxBytes = 65_536;

/** The buffered body of an error response. */
export class ErrorBody {
	readonly chunks: Uint8Array[] = [];
	private bytes = 0;

	/** Whether the body is longer than what is passed on. */
	get isOversized(): boolean {
		return this.bytes > maxBytes;
	}

	/** Adds a part of the body. */
	add(chunk: Uint8Array): void {
		this.chunks.push(chunk);
		this.bytes += chunk.length;
	}
}
