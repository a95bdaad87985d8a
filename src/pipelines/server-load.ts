import {getIncarnationId, type BackendServer} from './backend-server.js';
import {type LoadHandle} from './load-handle.js';
import {getLayerCount} from './layer-range.js';
import {type Pipeline, type Stage} from './pipeline.js';

type Load = {
	/** Tokens that this instance's running requests are expected to hold. */
	tokens: number;
	requests: number;
};

/** The load that a backend server reports in a response. */
export type LoadReading = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
};

/** A reading with its time and the requests of this instance that started since. */
type StoredReading = LoadReading & {readonly readAt: number; startedSince: number};

/** Returns the fraction of a server's layers that a stage runs. A token takes memory for these layers only. */
function getUsedShare({server, range}: Stage): number {
	const layers = server.range ? getLayerCount(server.range) : 0;
	return layers > 0 ? Math.min(1, getLayerCount(range) / layers) : 1;
}

/** Tracks this instance's requests on each backend server, and the load that the servers report. */
export class ServerLoad {
	private readonly loads = new Map<string, Load>();
	private readonly readings = new Map<string, StoredReading>();
	private readonly reservedTokens = new Map<string, number>();

	/** Records that a request starts to use a pipeline. */
	start(pipeline: Pipeline, tokens: number): LoadHandle {
		const reading = this.readings.get(getIncarnationId(pipeline[0].server));
		if (reading) {
			reading.startedSince++;
		}

		return this.hold(pipeline, tokens);
	}

	/** Records that a request continues to use a pipeline, after it was left out of the load for a moment. */
	hold(pipeline: Pipeline, tokens: number): LoadHandle {
		this.addAll(pipeline, tokens, 1);
		let held = tokens;
		let isRunning = true;
		return {
			update: updated => {
				if (isRunning) {
					this.addAll(pipeline, updated - held, 0);
					held = updated;
				}
			},
			release: () => {
				if (isRunning) {
					isRunning = false;
					this.addAll(pipeline, -held, -1);
				}
			},
		};
	}

	/**
	Reserves capacity of a pipeline for a request that waits for it. Reservations are not reported to other instances, since two of them could keep each other waiting.

	@returns a function that gives the capacity back; further calls have no effect
	*/
	reserve(pipeline: Pipeline, tokens: number): () => void {
		this.addReserved(pipeline, tokens);
		let isReserved = true;
		return () => {
			if (isReserved) {
				this.addReserved(pipeline, -tokens);
			}

			isReserved = false;
		};
	}

	/** Stores the load that a server reported. */
	observe(server: BackendServer, reading: LoadReading, now: number): void {
		this.readings.set(getIncarnationId(server), {...reading, readAt: now, startedSince: 0});
	}

	/** Returns the tokens that this instance's requests hold or have reserved on the server. */
	getTokens(server: BackendServer): number {
		const incarnationId = getIncarnationId(server);
		return (this.loads.get(incarnationId)?.tokens ?? 0) + (this.reservedTokens.get(incarnationId) ?? 0);
	}

	/** Returns the tokens that this instance's requests hold, by incarnation id of the server. */
	getTokensByIncarnation(): Iterable<[string, number]> {
		return [...this.loads].filter(([, {tokens}]) => tokens > 0).map(([incarnationId, {tokens}]) => [incarnationId, tokens]);
	}

	/** Returns the number of this instance's requests on the server. */
	getRequests(server: BackendServer): number {
		return this.loads.get(getIncarnationId(server))?.requests ?? 0;
	}

	/**
	Returns the requests of all instances on the server: those that it last reported plus those that this instance started since.

	@param maxAge - milliseconds after which a reading is ignored
	@returns undefined if there is no reading or it is older
	*/
	getReportedRequests(server: BackendServer, now: number, maxAge: number): number | undefined {
		const reading = this.readings.get(getIncarnationId(server));
		return !reading || now - reading.readAt > maxAge ? undefined : reading.running + reading.waiting + reading.startedSince;
	}

	/** Removes the readings of servers that are no longer listed. */
	retain(servers: Iterable<BackendServer>): void {
		const listed = new Set([...servers].map(server => getIncarnationId(server)));
		for (const incarnationId of this.readings.keys()) {
			if (!listed.has(incarnationId)) {
				this.readings.delete(incarnationId);
			}
		}

		for (const [incarnationId, tokens] of this.reservedTokens) {
			if (tokens < 1 && !listed.has(incarnationId)) {
				this.reservedTokens.delete(incarnationId);
			}
		}
	}

	private addReserved(pipeline: Pipeline, tokens: number): void {
		for (const stage of pipeline) {
			const incarnationId = getIncarnationId(stage.server);
			this.reservedTokens.set(incarnationId, (this.reservedTokens.get(incarnationId) ?? 0) + (tokens * getUsedShare(stage)));
		}
	}

	private addAll(pipeline: Pipeline, tokens: number, requests: number): void {
		for (const stage of pipeline) {
			this.add(stage.server, tokens * getUsedShare(stage), requests);
		}
	}

	private add(server: BackendServer, tokens: number, requests: number): void {
		const incarnationId = getIncarnationId(server);
		const load = this.loads.get(incarnationId) ?? {tokens: 0, requests: 0};
		load.tokens += tokens;
		load.requests += requests;
		if (load.requests <= 0) {
			this.loads.delete(incarnationId);
		} else {
			this.loads.set(incarnationId, load);
		}
	}
}
