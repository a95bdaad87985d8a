import {createHash} from 'node:crypto';
import {CacheChange, type CacheEvent} from '../src/backends/cache-event.js';
import {type TimerService} from '../src/time/timer-service.js';

const prefixCharacters = 64;
const charactersPerToken = 4;
const mostEvents = 1000;
/** Every so many events one is lost. */
const lossPeriod = 10;

type TimedEvent = CacheEvent & {
	readonly visibleAt: number;
};

function prefixOf(prompt: string): string {
	return createHash('sha256').update(prompt.slice(0, prefixCharacters)).digest('hex');
}

/** The KV cache of a stand-in engine: positions by request, and prompt prefixes, in limited memory, least recently used first out; with late events that have gaps. */
export class EngineCache {
	private readonly requests = new Map<string, number>();
	private readonly prefixes = new Map<string, number>();
	private events: TimedEvent[] = [];
	private sequence = 0;
	private held = 0;

	/**
	@param capacity - positions that it holds
	@param lag - milliseconds until an event can be read
	*/
	constructor(private readonly capacity: number, private readonly lag: number, private readonly timers: TimerService) {}

	/** Positions that need not run again for a request or its prompt. */
	positionsOf(request: string, prompt: string): number {
		const ofPrefix = prompt.length < prefixCharacters ? 0 : this.prefixes.get(prefixOf(prompt)) ?? 0;
		return Math.max(this.requests.get(request) ?? 0, ofPrefix);
	}

	/** Keeps the positions of a request up to an end, and its prompt's prefix. */
	put(request: string, prompt: string, end: number): void {
		this.set(this.requests, request, end);
		if (prompt.length >= prefixCharacters) {
			const prefix = prefixOf(prompt);
			if (!this.prefixes.has(prefix)) {
				this.announce(CacheChange.Stored, prefix);
			}

			this.set(this.prefixes, prefix, prefixCharacters / charactersPerToken);
		}

		this.evict();
	}

	/** Events after a sequence number that can be read by now. */
	eventsAfter(after: number): readonly CacheEvent[] {
		const now = this.timers.now();
		return this.events.filter(({sequence, visibleAt}) => sequence > after && visibleAt <= now)
			.map(({sequence, change, prefix}) => ({sequence, change, prefix}));
	}

	private announce(change: CacheChange, prefix: string): void {
		this.sequence++;
		if (this.sequence % lossPeriod !== 0) {
			this.events = [...this.events.slice(1 - mostEvents), {
				sequence: this.sequence, change, prefix, visibleAt: this.timers.now() + this.lag,
			}];
		}
	}

	private set(entries: Map<string, number>, key: string, positions: number): void {
		this.held += positions - (entries.get(key) ?? 0);
		entries.delete(key);
		entries.set(key, positions);
	}

	private evict(): void {
		for (const entries of [this.requests, this.prefixes]) {
			for (const [key, positions] of entries) {
				if (this.held <= this.capacity) {
					return;
				}

				entries.delete(key);
				this.held -= positions;
				if (entries === this.prefixes) {
					this.announce(CacheChange.Evicted, key);
				}
			}
		}
	}
}
