import {getIncarnationId, type BackendServer} from './backend-server.js';
import {type Pipeline} from './pipeline.js';

type Load = {
	/** Tokens that own running requests hold, as expected. */
	tokens: number;
	requests: number;
};

/** What a backend server tells of its load in an answer. */
export type LoadReading = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
};

type Reading = LoadReading & {readonly at: number; startedSince: number};

/** Counts this instance's work on each backend server, beside what the servers tell of their load. */
export class ServerLoad {
	private readonly loads = new Map<string, Load>();
	private readonly readings = new Map<string, Reading>();

	/** A request begins to use a pipeline; the result ends it. */
	start(pipeline: Pipeline, tokens: number): () => void {
		for (const {server} of pipeline) {
			this.add(server, tokens, 1);
		}

		const reading = this.readings.get(getIncarnationId(pipeline[0].server));
		if (reading) {
			reading.startedSince++;
		}

		let isRunning = true;
		return () => {
			if (!isRunning) {
				return;
			}

			isRunning = false;
			for (const {server} of pipeline) {
				this.add(server, -tokens, -1);
			}
		};
	}

	/** Takes over what a server told of its load. */
	observe(server: BackendServer, reading: LoadReading, now: number): void {
		this.readings.set(getIncarnationId(server), {...reading, at: now, startedSince: 0});
	}

	/** Tokens that own requests hold on the server. */
	getTokens(server: BackendServer): number {
		return this.loads.get(getIncarnationId(server))?.tokens ?? 0;
	}

	/** Tokens that own requests hold, by life of the server. */
	getTokensByIncarnation(): Iterable<[string, number]> {
		return [...this.loads].filter(([, {tokens}]) => tokens > 0).map(([life, {tokens}]) => [life, tokens]);
	}

	/** Own requests on the server. */
	getRequests(server: BackendServer): number {
		return this.loads.get(getIncarnationId(server))?.requests ?? 0;
	}

	/**
	Requests of all instances on the server, as last told and counted on.

	@param mostAge - milliseconds after which a reading no longer counts
	@returns undefined where the last reading is older
	*/
	getReportedRequests(server: BackendServer, now: number, mostAge: number): number | undefined {
		const reading = this.readings.get(getIncarnationId(server));
		return !reading || now - reading.at > mostAge ? undefined : reading.running + reading.waiting + reading.startedSince;
	}

	/** Forgets servers that are not on the list any more and do no work. */
	retain(servers: Iterable<BackendServer>): void {
		const lives = new Set([...servers].map(server => getIncarnationId(server)));
		for (const life of this.readings.keys()) {
			if (!lives.has(life)) {
				this.readings.delete(life);
			}
		}
	}

	private add(server: BackendServer, tokens: number, requests: number): void {
		const life = getIncarnationId(server);
		const load = this.loads.get(life) ?? {tokens: 0, requests: 0};
		load.tokens += tokens;
		load.requests += requests;
		if (load.requests <= 0) {
			this.loads.delete(life);
		} else {
			this.loads.set(life, load);
		}
	}
}
