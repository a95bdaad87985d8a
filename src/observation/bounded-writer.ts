import {write} from 'node:fs';
import {Writable} from 'node:stream';

/**
Writes lines to a file descriptor without ever blocking the event loop. Lines that exceed the buffer because the reader does not keep up are dropped and counted.

One write is in flight at a time; lines that arrive meanwhile are buffered for the next one.
*/
export class BoundedWriter extends Writable {
	private pending: string[] = [];
	private pendingLength = 0;
	private droppedLines = 0;
	private isWriting = false;
	private readonly idleListeners: Array<() => void> = [];

	/**
	@param descriptor - file descriptor to write to
	@param capacity - maximum number of buffered characters
	*/
	constructor(private readonly descriptor: number, private readonly capacity: number) {
		super({decodeStrings: false});
	}

	/** Number of lines dropped so far. */
	get dropped(): number {
		return this.droppedLines;
	}

	/** Resolves when all buffered lines have been written. */
	async flushed(): Promise<void> {
		if (this.isWriting) {
			await new Promise<void>(resolve => {
				this.idleListeners.push(resolve);
			});
		}
	}

	override _write(chunk: string | Uint8Array, _encoding: BufferEncoding, done: () => void): void {
		const line = typeof chunk === 'string' ? chunk : new TextDecoder().decode(chunk);
		if (this.pendingLength + line.length > this.capacity) {
			this.droppedLines++;
		} else {
			this.pending.push(line);
			this.pendingLength += line.length;
			this.writeNext();
		}

		done();
	}

	private writeNext(): void {
		if (this.isWriting) {
			return;
		}

		if (this.pending.length === 0) {
			for (const listener of this.idleListeners.splice(0)) {
				listener();
			}

			return;
		}

		const bytes = new TextEncoder().encode(this.pending.join(''));
		this.pending = [];
		this.pendingLength = 0;
		this.isWriting = true;
		this.writeFrom(bytes, 0);
	}

	private writeFrom(bytes: Uint8Array, offset: number): void {
		write(this.descriptor, bytes, offset, bytes.length - offset, undefined, (error, written) => {
			if (!error && offset + written < bytes.length) {
				this.writeFrom(bytes, offset + written);
				return;
			}

			if (error) {
				// The log has no reader any more, so the failure can only be reported through this counter.
				this.droppedLines++;
			}

			this.isWriting = false;
			this.writeNext();
		});
	}
}
