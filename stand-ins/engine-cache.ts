import {createHash} from 'node:crypto';
import {CacheChange, type CacheEvent} from '../src/backends/cache-event.js';
import {type TimerService} from '../src/time/timer-service.js';

const prefixLength = 64;
const charactersPerToken = 4;
const maximumEvents = 1000;
/** Every so many events one is lost. */
const lossPeriod = 10;

type TimedEvent = CacheEvent & {
	readonly visibleAt: number;
};

function hashPrefix(prompt: string): string {
	return createHash('sha256').update(prompt.slice(0, prefixLength)).digest('hex');
}

/** The KV cache of a stand-in engine: positions by request, and prompt prefixes, in limited memory, least recently used first out; with late events that have gaps. */
export class EngineCache {
	private readonly requests = new Map<string, number>();
	private readonly prefixes = new Map<string, number>();
	private events: TimedEvent[] = [];
	private sequence = 0;
	private storedPositions = 0;

	/**
	@param capacity - positions that it holds
	@param eventDelayMs - milliseconds until an event can be read
	*/
	constructor(private readonly capacity: number, private readonly eventDelayMs: number, private readonly timers: TimerService) {}

	/** Positions that need not run again for a request or its prompt. */
	findPositions(request: string, prompt: string): number {
		const prefixPositions = prompt.length < prefixLength ? 0 : this.prefixes.get(hashPrefix(prompt)) ?? 0;
		return Math.max(this.requests.get(request) ?? 0, prefixPositions);
	}

	/** Keeps the positions of a request up to an end, and its prompt's prefix. */
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

	/** Events after a sequence number that can be read by now. */
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
