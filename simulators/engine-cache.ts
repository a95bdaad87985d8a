import {createHash} from 'node:crypto';
import {CacheChange, type CacheEvent} from '../src/backends/cache-event.js';
import {type TimerService} from '../src/time/timer-service.js';

const prefixLength = 64;
const charactersPerToken = 4;
const maximumEvents = 1000;
/** One event in this many is dropped, so that readers must handle gaps in the sequence. */
const lossPeriod = 10;

type TimedEvent = CacheEvent & {
	readonly visibleAt: number;
};

function hashPrefix(prompt: string): string {
	return createHash('sha256').update(prompt.slice(0, prefixLength)).digest('hex');
}

/** The KV cache of an engine simulator. It stores positions by request and by prompt prefix, evicts the least recently used entries, and publishes events with a delay and with gaps. */
export class EngineCache {
	private readonly requests = new Map<string, number>();
	private readonly prefixes = new Map<string, number>();
	private events: TimedEvent[] = [];
	private sequence = 0;
	private storedPositions = 0;

	/**
	@param capacity - maximum number of positions
	@param eventDelayMs - milliseconds after which an event can be read
	*/
	constructor(private readonly capacity: number, private readonly eventDelayMs: number, private readonly timers: TimerService) {}

	/** Returns the number of positions that are cached for a request or for the prefix of its prompt. */
	findPositions(request: string, prompt: string): number {
		const prefixPositions = prompt.length < prefixLength ? 0 : this.prefixes.get(hashPrefix(prompt)) ?? 0;
		return Math.max(this.requests.get(request) ?? 0, prefixPositions);
	}

	/** Stores the positions of a request up to an end, and the prefix of its prompt. */
	put(request: string, prompt: string, end: number): void {
		this.set(this.requests, request, end);
		if (prompt.length >= prefixLength) {
			const prefix = hashPrefix(prompt);
			if (!this.prefixes.has(prefix)) {
				this.publishEvent(CacheChange.Stored, prefix);
			}

			this.set(this.prefixes, prefix, prefixLength / charactersPerToken);
		}

		this.evict();
	}

	/** Returns the events after a sequence number whose delay has passed. */
	readEventsAfter(after: number): readonly CacheEvent[] {
		const now = this.timers.now();
		return this.events.filter(({sequence, visibleAt}) => sequence > after && visibleAt <= now)
			.map(({sequence, change, prefix}) => ({sequence, change, prefix}));
	}

	private publishEvent(change: CacheChange, prefix: string): void {
		this.sequence++;
		if (this.sequence % lossPeriod !== 0) {
			this.events = [...this.events.slice(1 - maximumEvents), {
				sequence: this.sequence, change, prefix, visibleAt: this.timers.now() + this.eventDelayMs,
			}];
		}
	}

	private set(entries: Map<string, number>, key: string, positions: number): void {
		this.storedPositions += positions - (entries.get(key) ?? 0);
		entries.delete(key);
		entries.set(key, positions);
	}

	private evict(): void {
		for (const entries of [this.requests, this.prefixes]) {
			for (const [key, positions] of entries) {
				if (this.storedPositions <= this.capacity) {
					return;
				}

				entries.delete(key);
				this.storedPositions -= positions;
				if (entries === this.prefixes) {
					this.publishEvent(CacheChange.Evicted, key);
				}
			}
		}
	}
}
