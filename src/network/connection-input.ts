import {Buffer} from 'node:buffer';
import {Socket} from 'node:net';
import {computeSliceWork, findSlice} from './input-slice.js';
import {type InputScheduler} from './input-scheduler.js';
import {InputSource} from './input-source.js';
import {startReading, stopReading} from './read-control.js';
import {computeHeadMemory} from './request-memory.js';

/** What the input of a connection depends on. */
export type ConnectionInputDependencies = {
	readonly scheduler: InputScheduler;
	/** Whether the connection takes a further request. */
	readonly takesRequests: () => boolean;
	/** Whether requests wait for replies. */
	readonly hasOpenReplies: () => boolean;
	/** Sets a timer in milliseconds. */
	readonly after: (delay: number, callback: () => void) => void;
	/** Records the memory in bytes of input that has become neither a request nor a part of a body. */
	readonly recordMemory: (bytes: number) => void;
};

/** Work of a request, whatever its length, in units of the work of one line. */
const requestWork = 32;

/** Longest time in milliseconds for which input is discarded before a connection closes, and most bytes of it. */
const maxLingerMs = 1000;
const maxLingerBytes = 1_048_576;

/** Hands the input of a connection to the runtime's parser, in slices and when the scheduler has work left for it. */
export class ConnectionInput extends InputSource {
	private held?: Uint8Array;
	/** Offset in the held bytes from which they are not parsed. */
	private offset = 0;
	private isBlocked = false;
	/** Bytes and lines that were parsed and have become neither a request nor a part of a body. */
	private pendingBytes = 0;
	private pendingLines = 0;
	private recentWork = 0;
	private completeRequests = 0;
	private sliceWork = 0;
	/** Bytes that may still be discarded before the connection closes; undefined while input is parsed. */
	private lingerBytes?: number;

	constructor(private readonly socket: Socket, private readonly dependencies: ConnectionInputDependencies) {
		super();
		// A listener of its own makes the runtime parse what the socket emits instead of reading the connection itself.
		socket.on('data', () => undefined);
		socket.on('resume', () => {
			dependencies.scheduler.proceed(this);
		});
		socket.push = (chunk: unknown) => chunk instanceof Uint8Array ? this.receive(chunk) : Socket.prototype.push.call(socket, chunk);
		socket._read = () => {
			this.read();
		};

		socket.destroySoon = () => {
			this.close();
		};

		dependencies.scheduler.add(this);
	}

	get heldBytes(): number {
		return this.held === undefined ? 0 : this.held.length - this.offset;
	}

	get isReady(): boolean {
		const {socket} = this;
		return !socket.destroyed && !socket.isPaused() && socket.readableLength === 0 && this.dependencies.takesRequests();
	}

	get work(): number {
		return this.recentWork;
	}

	get hasCompleted(): boolean {
		return this.completeRequests > 0;
	}

	get hasBegun(): boolean {
		return this.socket.bytesRead > 0;
	}

	/** Whether bytes may have arrived that were not parsed. */
	get isWaiting(): boolean {
		return this.heldBytes > 0 || this.dependencies.scheduler.isStopped(this);
	}

	advance(): number {
		const held = this.held!;
		const slice = findSlice(held, this.offset);
		this.offset += slice.bytes.length;
		if (this.offset === held.length) {
			this.held = undefined;
		}

		this.sliceWork = computeSliceWork(slice);
		this.recentWork += this.sliceWork;
		this.pendingBytes += slice.bytes.length;
		this.pendingLines += slice.lines;
		Socket.prototype.push.call(this.socket, slice.bytes);
		this.recordMemory();
		return this.sliceWork;
	}

	stopReading(): void {
		stopReading(this.socket);
	}

	startReading(): void {
		startReading(this.socket);
	}

	setBlocked(isBlocked: boolean): void {
		this.isBlocked = isBlocked;
		this.recordMemory();
	}

	/** Goes on with held bytes, if any, once the connection takes a further request. */
	proceed(): void {
		this.dependencies.scheduler.proceed(this);
	}

	/** Records that the head of a request is complete; what was parsed for it counts as memory of the request. */
	recordRequest(): void {
		this.sliceWork += requestWork;
		this.recordOutput();
	}

	/** Records that what was parsed has left the parser. */
	recordOutput(): void {
		this.pendingBytes = 0;
		this.pendingLines = 0;
	}

	/** Records that a request has arrived completely. */
	recordComplete(): void {
		this.recentWork = 0;
		this.completeRequests++;
	}

	/** Releases everything when the connection has closed. */
	end(): void {
		this.held = undefined;
		this.offset = 0;
		this.dependencies.scheduler.remove(this);
	}

	/** Closes the connection after the last reply. If input is unread then, the system would reset the connection, and the caller could lose replies that it has not read. */
	private close(): void {
		const {socket} = this;
		if (socket.destroyed || !(this.isWaiting || this.dependencies.hasOpenReplies())) {
			Socket.prototype.destroySoon.call(socket);
			return;
		}

		this.lingerBytes = maxLingerBytes;
		this.end();
		socket.end();
		socket.resume();
		socket.once('end', () => {
			socket.destroy();
		});
		this.dependencies.after(maxLingerMs, () => {
			socket.destroy();
		});
		this.startReading();
	}

	private discard(bytes: number): boolean {
		this.lingerBytes! -= bytes;
		if (this.lingerBytes! < 0) {
			this.socket.destroy();
		}

		return !this.socket.destroyed;
	}

	private receive(chunk: Uint8Array): boolean {
		if (this.lingerBytes !== undefined) {
			return this.discard(chunk.length);
		}

		this.held = this.held === undefined ? chunk : Buffer.concat([this.held.subarray(this.offset), chunk]);
		this.offset = 0;
		return this.dependencies.scheduler.receive(this);
	}

	/** Called when the stream wants bytes. */
	private read(): void {
		if (this.lingerBytes !== undefined) {
			this.startReading();
		} else if (this.heldBytes > 0) {
			this.proceed();
		} else if (!this.dependencies.scheduler.isStopped(this)) {
			this.startReading();
		}
	}

	private recordMemory(): void {
		this.dependencies.recordMemory(computeHeadMemory(this.pendingBytes, this.pendingLines) + (this.isBlocked ? this.held?.length ?? 0 : 0));
	}
}
