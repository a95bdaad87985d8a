import {InputQueue} from './input-queue.js';
import {type InputSource} from './input-source.js';

/** Bounds on the input of all connections. */
export type InputLimits = {
	/** Work in one turn of the event loop, in units of the work of one line. */
	readonly turnWork: number;
	/** Bytes that are held until there is work left for them. Connections without an unfinished request may add as many again. */
	readonly heldBytes: number;
};

/** Largest number of bytes that one read of a connection returns. */
const maxReadBytes = 65_536;
/** Fraction of a turn's work for input that is held; the rest is for input that arrives in the turn. */
const heldFraction = 0.5;
/** Fraction of the held bytes below which stopped connections are read again. */
const resumeFraction = 0.5;

/** Bounds the work that the input of all connections causes in one turn of the event loop, and the bytes that wait for later turns. Connections that have caused little work come first. */
export class InputScheduler {
	private readonly reading = new Set<InputSource>();
	private readonly waiting = new InputQueue();
	private readonly stopped = new InputQueue();
	private spent = 0;
	private held = 0;
	private isStopping = false;
	private isDeferred = false;

	/**
	@param defer - calls back in the next turn of the event loop
	*/
	constructor(private readonly limits: InputLimits, private readonly defer: (callback: () => void) => void) {}

	/** Bytes that wait to be parsed. */
	get heldBytes(): number {
		return this.held;
	}

	/** Number of connections that are not read until there is room for their input. */
	get stoppedSources(): number {
		return this.stopped.size;
	}

	/** Adds a connection that is being read. */
	add(source: InputSource): void {
		if (this.held > this.urgentBytes) {
			this.stop(source, true);
			this.deferTurn();
		} else {
			this.reading.add(source);
		}
	}

	/** Removes a connection that has closed. */
	remove(source: InputSource): void {
		this.reading.delete(source);
		this.waiting.remove(source);
		this.stopped.remove(source);
		this.held -= source.countedBytes;
		source.countedBytes = 0;
	}

	/** Handles bytes that have arrived on a connection. Returns whether to read on. */
	receive(source: InputSource): boolean {
		this.count(source);
		this.deferTurn();
		while (source.heldBytes > 0 && source.isReady && this.spent < this.limits.turnWork) {
			this.advance(source);
		}

		if (source.heldBytes === 0) {
			return this.reading.has(source);
		}

		this.reading.delete(source);
		this.wait(source);
		this.stopExcess();
		return false;
	}

	/** Goes on with the held bytes of a connection that may have become ready. */
	proceed(source: InputSource): void {
		if (source.heldBytes > 0 && source.isReady) {
			this.wait(source);
			this.deferTurn();
		}
	}

	/** Whether a connection is not to be read. */
	isStopped(source: InputSource): boolean {
		return !this.reading.has(source);
	}

	private runTurn(): void {
		const isBusy = this.spent > 0;
		this.spent = 0;
		while (this.waiting.size > 0 && this.spent < this.limits.turnWork * heldFraction) {
			this.advanceWaiting(this.waiting.take()!);
		}

		this.resumeStopped();
		if (isBusy || this.waiting.size > 0 || this.isStopping) {
			this.deferTurn();
		}
	}

	private advanceWaiting(source: InputSource): void {
		if (source.isReady) {
			this.advance(source);
		}

		if (source.heldBytes > 0) {
			this.wait(source);
		} else if (this.isStopping) {
			this.stopped.add(source);
		} else {
			this.resume(source);
		}
	}

	/** Reads stopped connections again, no more than there is room for what they may deliver in a turn. */
	private resumeStopped(): void {
		let expected = this.held;
		while (this.stopped.hasUrgent && expected + maxReadBytes <= this.urgentBytes) {
			this.resume(this.stopped.take()!);
			expected += maxReadBytes;
		}

		if (this.held <= this.limits.heldBytes * resumeFraction) {
			while (this.stopped.size > 0 && expected + maxReadBytes <= this.limits.heldBytes) {
				this.resume(this.stopped.take()!);
				expected += maxReadBytes;
			}
		}

		this.isStopping = this.stopped.size > 0;
	}

	/** Queues a connection with held bytes. Bytes that can't be parsed are no reason to stop other connections; they count as memory of their own. */
	private wait(source: InputSource): void {
		source.setBlocked(!source.isReady);
		this.count(source);
		if (source.isReady) {
			this.waiting.add(source);
		}
	}

	private advance(source: InputSource): void {
		this.spent += source.advance();
		this.count(source);
	}

	/** Counts the bytes that a connection holds now. */
	private count(source: InputSource): void {
		const bytes = source.isReady ? source.heldBytes : 0;
		this.held += bytes - source.countedBytes;
		source.countedBytes = bytes;
	}

	private resume(source: InputSource): void {
		this.reading.add(source);
		source.startReading();
	}

	private stop(source: InputSource, isUrgent = false): void {
		this.isStopping = true;
		this.reading.delete(source);
		this.stopped.add(source, isUrgent);
		source.stopReading();
	}

	/** Stops the connections whose input there is no room for: first those with an unfinished request. */
	private stopExcess(): void {
		if (this.held <= this.limits.heldBytes) {
			return;
		}

		for (const source of this.reading) {
			const isUnfinished = source.work > 0 || (source.hasBegun && !source.hasCompleted);
			if (isUnfinished || this.held > this.urgentBytes) {
				this.stop(source);
			}
		}
	}

	/** Bytes that may be held if connections without an unfinished request are counted. */
	private get urgentBytes(): number {
		return this.limits.heldBytes * 2;
	}

	private deferTurn(): void {
		if (!this.isDeferred) {
			this.isDeferred = true;
			this.defer(() => {
				this.isDeferred = false;
				this.runTurn();
			});
		}
	}
}
