const prefixCharacters = 64;
const charactersPerToken = 4;

/** The KV cache of a stand-in engine: positions by request, and prompt prefixes, in limited memory, least recently used first out. */
export class EngineCache {
	private readonly requests = new Map<string, number>();
	private readonly prefixes = new Map<string, number>();
	private held = 0;

	/**
	@param capacity - positions that it holds
	*/
	constructor(private readonly capacity: number) {}

	/** Positions that need not run again for a request or its prompt. */
	positionsOf(request: string, prompt: string): number {
		return Math.max(this.requests.get(request) ?? 0, this.prefixPositions(prompt));
	}

	/** Keeps the positions of a request up to an end, and its prompt's prefix. */
	put(request: string, prompt: string, end: number): void {
		this.set(this.requests, request, end);
		if (prompt.length >= prefixCharacters) {
			const prefix = prompt.slice(0, prefixCharacters);
			this.set(this.prefixes, prefix, prefixCharacters / charactersPerToken);
		}

		this.evict();
	}

	private prefixPositions(prompt: string): number {
		return prompt.length < prefixCharacters ? 0 : this.prefixes.get(prompt.slice(0, prefixCharacters)) ?? 0;
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
			}
		}
	}
}
