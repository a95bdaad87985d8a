import {Buffer} from 'node:buffer';

const headEnd = '\r\n\r\n';
const lineEnd = '\r\n';
const hexadecimal = 16;

/** Reads one HTTP response from the bytes of a connection and tells whether it arrived whole. */
export class ResponseReader {
	/** Undefined until the head has arrived. */
	status?: number;
	/** Whether the last byte of the response has arrived. */
	isComplete = false;
	/** Whether the instance says that it closes the connection. */
	isLast = false;
	receivedBytes = 0;
	private readonly body: Uint8Array[] = [];
	private pending = Buffer.alloc(0);
	private isChunked = false;
	private isLastChunk = false;
	/** Bytes that are left of the body or of the present chunk with its end. */
	private remaining = 0;

	/** The body as far as it has arrived. */
	get text(): string {
		return Buffer.concat(this.body).toString();
	}

	/** Takes the next bytes of the connection. */
	add(bytes: Uint8Array): void {
		this.receivedBytes += bytes.length;
		this.pending = Buffer.concat([this.pending, bytes]);
		if (this.status === undefined) {
			this.readHead();
		}

		if (this.status !== undefined) {
			this.readBody();
		}
	}

	private readHead(): void {
		const end = this.pending.indexOf(headEnd);
		if (end === -1) {
			return;
		}

		const head = this.pending.subarray(0, end).toString().toLowerCase();
		this.pending = this.pending.subarray(end + headEnd.length);
		this.status = Number(head.split(' ')[1]);
		this.isLast = /^connection: close$/mv.test(head);
		this.isChunked = /^transfer-encoding: chunked$/mv.test(head);
		this.remaining = Number(/^content-length: (?<length>\d+)$/mv.exec(head)?.groups?.length ?? 0);
	}

	private readBody(): void {
		if (this.isChunked) {
			while (!this.isComplete && this.readChunk()) {
				// Each call reads one part.
			}

			return;
		}

		this.takePart(this.remaining);
		this.isComplete = this.remaining === 0;
	}

	private takePart(size: number): void {
		const part = this.pending.subarray(0, size);
		this.pending = this.pending.subarray(part.length);
		this.remaining -= part.length;
		this.body.push(part);
	}

	/** Reads the size of a chunk, or what has arrived of its data; returns whether there may be more to read. */
	private readChunk(): boolean {
		if (this.remaining > lineEnd.length) {
			this.takePart(this.remaining - lineEnd.length);
			return this.pending.length > 0;
		}

		const end = this.pending.indexOf(lineEnd);
		if (end === -1) {
			return false;
		}

		const line = this.pending.subarray(0, end).toString();
		this.pending = this.pending.subarray(end + lineEnd.length);
		if (this.remaining > 0) {
			this.remaining = 0;
			this.isComplete = this.isLastChunk;
			return true;
		}

		this.remaining = Number.parseInt(line, hexadecimal) + lineEnd.length;
		this.isLastChunk = this.remaining === lineEnd.length;
		return true;
	}
}
