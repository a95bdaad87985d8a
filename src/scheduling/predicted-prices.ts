import {type BackendServer} from '../pipelines/backend-server.js';
import {type PipelineRequest} from '../pipelines/pipeline-request.js';
import {groupByZone} from '../pipelines/pipeline-selector.js';
import {type SelectionWeights} from '../pipelines/selection-weights.js';
import {type ServerLoad} from '../pipelines/server-load.js';
import {type ServerSlowdowns} from '../pipelines/server-slowdowns.js';
import {type RandomSource} from '../routing/random-source.js';
import {type EngineModel} from '../pipelines/engine-model.js';
import {type FullStageRejection} from './full-stage-rejection.js';
import {LayerRoom} from './layer-room.js';
import {LayerPrices, type LayerCost, type PriceOptions} from './layer-prices.js';
import {type StartShares} from './start-shares.js';
import {sumPredictedTokens, type MemoryForecast, type OccupancyForecast} from './occupancy-forecast.js';

/** Number of instances up to which the cheapest pipeline is always selected, since each sees most of the load at once. */
const fewInstances = 3;
/** Spread of the costs, relative to the fastest accelerator type. */
const spreadWeight = 0.5;
/** Number of requests like the one to place below which the room at a zone's scarcest layer is short. */
const shortRequests = 5;
/** The same as a multiple of what others have probably started since their reports: in a sudden burst, they start more than the reports show. */
const shortStarts = 2;
/** Time for which room counts as short afterwards, since requests wait then. */
const shortageMemoryMs = 300;
/** Least fraction that a logarithm is taken of. */
const minFraction = 1e-9;

export type PredictedPricesDependencies = {
	readonly load: ServerLoad;
	readonly slowdowns: ServerSlowdowns;
	readonly forecast: OccupancyForecast;
	readonly random: RandomSource;
	readonly shares: StartShares;
	/** Returns the number of instances that share the servers of this instance's availability zone. */
	readonly countInstances: (now: number) => number;
};

/** What all servers of one selection are priced by. */
type Pricing = {
	readonly request: PipelineRequest;
	readonly maxOccupancy: number;
	readonly isExplanation: boolean;
	readonly isFastest: boolean;
	readonly crowding: number;
	readonly fastestPace: number;
	readonly now: number;
};

function getZoneKey(service: string, zone: string): string {
	return `${service} ${zone}`;
}

/**
Prices layers by the load that servers are predicted to have, and spreads the choices of the instances.

Each price is perturbed by a Gumbel variable and by the logarithm of the room. Of servers that are otherwise equal, each is then the cheapest with a probability in proportion to its room.
*/
export class PredictedPrices extends LayerPrices {
	/** Monotonic time in milliseconds at which room was last short, by zone. */
	private readonly shortAt = new Map<string, number>();

	constructor(private readonly dependencies: PredictedPricesDependencies, private readonly weights: SelectionWeights) {
		super();
	}

	price(servers: readonly BackendServer[], request: PipelineRequest, {maxOccupancy, isExplanation = false, isFastest = false}: PriceOptions, now: number): LayerCost {
		const {forecast} = this.dependencies;
		const {model, tokens} = request;
		const pricing: Pricing = {
			request, maxOccupancy, isExplanation, crowding: this.computeCrowding(now), isFastest, fastestPace: Math.min(...[...model.acceleratorTypes.values()].map(({pace}) => pace)), now,
		};
		const memories = new Map<BackendServer, MemoryForecast>();
		for (const server of servers) {
			const memory = forecast.predict(server, model, tokens, now);
			if (memory) {
				memories.set(server, memory);
			}
		}

		const closedZones = pricing.crowding > 0 && Number.isFinite(maxOccupancy) ? this.findClosedZones(memories, pricing) : undefined;
		return server => {
			const memory = memories.get(server);
			return !memory || closedZones?.has(server.availabilityZone) ? Number.POSITIVE_INFINITY : this.computeLayerCost(server, memory, pricing);
		};
	}

	predictMemory(server: BackendServer, {model, tokens}: PipelineRequest, now: number): MemoryForecast | undefined {
		return this.dependencies.forecast.predict(server, model, tokens, now);
	}

	/** Records that a server rejected a request for lack of memory. */
	recordRejection({server, model, tokens, now}: FullStageRejection): void {
		// A server accepts a request whose prompt fits, so it only lacks room for the prompt.
		const needed = Math.max(tokens / 2, tokens - model.usualAnswer);
		const key = getZoneKey(server.service, server.availabilityZone);
		this.shortAt.set(key, now);
		this.dependencies.forecast.recordRejection(server, model, needed, now);
		this.dependencies.shares.recordRejection(key, tokens, now);
	}

	private computeLayerCost(server: BackendServer, memory: MemoryForecast, {request, maxOccupancy, isExplanation, isFastest, crowding, fastestPace, now}: Pricing): number {
		const {model, tokens, occupancyLimit = 1} = request;
		const {capacity, margin} = memory;
		const predicted = sumPredictedTokens(memory);
		const limit = capacity * Math.min(maxOccupancy, occupancyLimit);
		const occupancy = this.computeOccupancy(server, (predicted - margin) / capacity, now);
		if (tokens > capacity || predicted + tokens > limit || occupancy > maxOccupancy) {
			return Number.POSITIVE_INFINITY;
		}

		const cost = model.acceleratorTypes.get(server.card)!.pace * this.dependencies.slowdowns.getFactor(server, now) * (1 + (this.weights.occupancyWeight * (occupancy ** 2)));
		if (isFastest || crowding === 0 || !Number.isFinite(limit)) {
			return cost;
		}

		const spread = fastestPace * spreadWeight * (Math.log((limit - predicted) / tokens) + (isExplanation ? 0 : this.drawGumbel()));
		return cost - (crowding * spread);
	}

	/** Returns the zones in which room is short and this instance has taken its share of it. */
	private findClosedZones(memories: ReadonlyMap<BackendServer, MemoryForecast>, {request, isExplanation, now}: Pricing): ReadonlySet<string> {
		const {shares, countInstances} = this.dependencies;
		const {service, model, tokens, occupancyLimit = 1} = request;
		const instances = countInstances(now);
		const closed = new Set<string>();
		for (const [zone, members] of groupByZone([...memories.keys()])) {
			const room = new LayerRoom(model.layers);
			const futureRoom = new LayerRoom(model.layers);
			const ownTokens = new Map<BackendServer, number>();
			const key = getZoneKey(service, zone);
			let age = 0;
			let started = 0;
			for (const server of members) {
				const memory = memories.get(server)!;
				const free = (memory.capacity * occupancyLimit) - memory.own - memory.peers - memory.unknown;
				room.add(server.range!, Math.max(0, free - memory.growth - memory.margin));
				futureRoom.add(server.range!, Math.max(0, free + memory.ended));
				if (server.range!.from === 0) {
					started += memory.started;
					ownTokens.set(server, memory.own);
				}

				age = memory.age;
			}

			const zoneRoom = {
				tokens: futureRoom.scarcest, ownTokens, instances, age,
			};
			const isAllowed = isExplanation ? shares.wouldAllow(key, zoneRoom, tokens) : shares.allows(key, zoneRoom, tokens, now);
			const isShort = room.scarcest < tokens * shortRequests || futureRoom.scarcest < started * shortStarts;
			if (isShort && !isExplanation) {
				this.shortAt.set(key, now);
			}

			if (!isAllowed && (isShort || now - (this.shortAt.get(key) ?? Number.NEGATIVE_INFINITY) <= shortageMemoryMs)) {
				closed.add(zone);
			}
		}

		return closed;
	}

	/** Returns how much the choices of the instances must differ: 0 for a few instances, nearly 1 for many. */
	private computeCrowding(now: number): number {
		return Math.max(0, 1 - (fewInstances / this.dependencies.countInstances(now)));
	}

	/** Returns the used fraction of a server's memory or slots, whichever is larger. */
	private computeOccupancy(server: BackendServer, memory: number, now: number): number {
		const {load} = this.dependencies;
		const reported = load.getReportedRequests(server, now, this.weights.maxLoadAge) ?? 0;
		return Math.max(0, memory, Math.max(reported, load.getRequests(server)) / Math.max(1, server.slots));
	}

	private drawGumbel(): number {
		return -Math.log(-Math.log(Math.max(minFraction, this.dependencies.random.nextFraction())));
	}
}
