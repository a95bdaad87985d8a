import {type Backpressure} from '../backpressure/backpressure.js';
import {type LayerPrices, type PriceOptions} from '../scheduling/layer-prices.js';
import {sumPredictedTokens, type MemoryForecast} from '../scheduling/occupancy-forecast.js';
import {
	areOnTime, predictStageTimes, predictTimes, type PredictedTimes, type ServerPace,
} from '../scheduling/predicted-times.js';
import {Exclusion, type SelectionExplanation} from '../scheduling/selection-explanation.js';
import {ReportedPrices} from '../scheduling/reported-prices.js';
import {getIncarnationId, type BackendServer} from './backend-server.js';
import {computeUsualRequestTokens, type EngineModel} from './engine-model.js';
import {getLayerCount, type LayerRange} from './layer-range.js';
import {type InterzoneBandwidthBudget} from './interzone-bandwidth-budget.js';
import {findPipeline, type PipelineCosts} from './pipeline-finder.js';
import {type PipelineRequest} from './pipeline-request.js';
import {type Pipeline} from './pipeline.js';
import {type SelectionWeights} from './selection-weights.js';
import {type ServerHealthTracker} from './server-health-tracker.js';
import {type ServerDirectory} from './server-directory.js';
import {type ServerSlowdowns} from './server-slowdowns.js';
import {type ServerLoad} from './server-load.js';

export type PipelineSelectorDependencies = {
	readonly directory: ServerDirectory;
	readonly serverHealth: ServerHealthTracker;
	readonly backpressure: Backpressure;
	readonly load: ServerLoad;
	readonly slowdowns: ServerSlowdowns;
	/** Availability zone of this instance. */
	readonly availabilityZone: string;
	readonly interzoneBandwidth: InterzoneBandwidthBudget;
	/** Returns the tokens that requests of other instances are known to hold on a server. */
	readonly getPeerTokens: (server: BackendServer, now: number) => number;
	/** Prices the servers; where undefined, the known loads are taken as they are and the cheapest pipeline is always selected. */
	readonly prices?: LayerPrices;
};

/** Network delay between availability zones in milliseconds; an assumption, since nothing measures it. */
const zoneDelayMs = 5;

/** Groups servers by availability zone. */
export function groupByZone(servers: readonly BackendServer[]): ReadonlyMap<string, readonly BackendServer[]> {
	const zones = new Map<string, BackendServer[]>();
	for (const server of servers) {
		const members = zones.get(server.availabilityZone) ?? [];
		members.push(server);
		zones.set(server.availabilityZone, members);
	}

	return zones;
}

/** Counts the transitions of a pipeline from one availability zone to another. */
function countCrossings(pipeline: Pipeline): number {
	return pipeline.filter(({server}, index) => index > 0 && server.availabilityZone !== pipeline[index - 1].server.availabilityZone).length;
}

/**
Selects the pipeline with the lowest cost, computed from the speed of the accelerators and the occupancy of the servers.

All servers share the bandwidth between availability zones, so a pipeline stays within one zone if a zone has all layers. Otherwise it crosses zones as far as the bandwidth budget allows.
*/
export class PipelineSelector {
	private readonly prices: LayerPrices;

	constructor(private readonly dependencies: PipelineSelectorDependencies, private readonly weights: SelectionWeights) {
		this.prices = dependencies.prices ?? new ReportedPrices(dependencies, weights);
	}

	/** Returns the pipeline to use now; undefined if no usable servers with enough capacity cover all layers, or if the pipeline would exceed the bandwidth between zones. */
	select(request: PipelineRequest, now: number): Pipeline | undefined {
		const {model} = request;
		const pipeline = this.findTimely(this.findUsableServers(request, now), request, {maxOccupancy: this.weights.maxOccupancy}, now);
		const crossings = pipeline ? countCrossings(pipeline) : 0;
		const bytes = crossings * request.tokens * model.activationBytes;
		return crossings === 0 || this.dependencies.interzoneBandwidth.tryConsume(bytes, model.interzoneMegabits, now) ? pipeline : undefined;
	}

	/**
	Returns the pipeline that a request is to wait for: the one with the lowest cost, however busy its stages are.

	@param previous - the pipeline that it has waited for; still returned if all of its stages may be used
	*/
	selectBusy(request: PipelineRequest, previous: Pipeline | undefined, now: number): Pipeline | undefined {
		const servers = this.findUsableServers(request, now);
		return previous?.every(({server}) => servers.includes(server))
			? previous
			: this.findCheapest(servers, request, {maxOccupancy: Number.POSITIVE_INFINITY}, now);
	}

	/** Returns where a request would go now, and why, without any side effects. */
	explain(request: PipelineRequest, now: number): SelectionExplanation {
		const {directory, serverHealth, backpressure} = this.dependencies;
		const {model, tokens, promptTokens = model.usualPrompt, occupancyLimit = 1} = request;
		const options = {maxOccupancy: this.weights.maxOccupancy, isExplanation: true};
		const usable = this.findUsableServers(request, now);
		const computeLayerCost = this.prices.price(usable, request, options, now);
		const findExclusion = (server: BackendServer, memory: MemoryForecast | undefined): Exclusion | undefined => {
			if (request.excluded.has(getIncarnationId(server))) {
				return Exclusion.Request;
			}

			if (!server.range || !model.acceleratorTypes.has(server.card)) {
				return Exclusion.Layers;
			}

			if (!usable.includes(server)) {
				return serverHealth.isUsable(server, now) && backpressure.pauses.isPaused(server, now) ? Exclusion.Pause : Exclusion.Health;
			}

			if (computeLayerCost(server) === Number.POSITIVE_INFINITY) {
				return memory && sumPredictedTokens(memory) + tokens <= memory.capacity * occupancyLimit ? Exclusion.Share : Exclusion.Memory;
			}

			return server.range.from === 0 && !this.isAllowedFirst(server, request.firstStageCandidates, now) ? Exclusion.FirstStage : undefined;
		};

		const candidates = directory.usable(request.service).map(server => {
			const {id, range} = server;
			const memory = this.prices.predictMemory(server, request, now);
			const times = range && predictStageTimes({server, range}, model, promptTokens, this.predictPace(server, request, now));
			return {
				server: id, availabilityZone: server.availabilityZone, range, memory, limit: memory && memory.capacity * occupancyLimit, times, exclusion: findExclusion(server, memory),
			};
		});
		const chosen = this.findTimely(usable, request, options, now);
		const times = chosen && this.predictTimes(chosen, request, now);
		return {
			candidates: candidates.toSorted((left, right) => (left.range?.from ?? 0) - (right.range?.from ?? 0)),
			chosen: chosen?.map(({server, range}) => ({server: server.id, range})),
			times,
			isOnTime: times && areOnTime(times, request),
		};
	}

	/** Returns the cheapest pipeline, or, if its times are predicted to be late, the fastest one if that is earlier. */
	private findTimely(servers: readonly BackendServer[], request: PipelineRequest, options: PriceOptions, now: number): Pipeline | undefined {
		const cheapest = this.findCheapest(servers, request, options, now);
		if (!this.dependencies.prices || !cheapest || areOnTime(this.predictTimes(cheapest, request, now), request)) {
			return cheapest;
		}

		const fastest = this.findCheapest(servers, request, {...options, isFastest: true}, now);
		return fastest && this.predictTimes(fastest, request, now).firstEventMs < this.predictTimes(cheapest, request, now).firstEventMs ? fastest : cheapest;
	}

	private findCheapest(servers: readonly BackendServer[], request: PipelineRequest, options: PriceOptions, now: number): Pipeline | undefined {
		const computeLayerCost = this.prices.price(servers, request, options, now);
		const priced = new Map<BackendServer, number>();
		for (const server of servers) {
			const cost = computeLayerCost(server);
			if (cost < Number.POSITIVE_INFINITY) {
				priced.set(server, cost);
			}
		}

		return findPipeline([...priced.keys()], request.model.layers, this.createCosts(request, priced, now))?.pipeline;
	}

	private predictTimes(pipeline: Pipeline, request: PipelineRequest, now: number): PredictedTimes {
		const networkDelay = pipeline[0].server.availabilityZone === this.dependencies.availabilityZone ? 0 : zoneDelayMs;
		return predictTimes(pipeline, request, networkDelay, ({server}) => this.predictPace(server, request, now));
	}

	private predictPace(server: BackendServer, request: PipelineRequest, now: number): ServerPace {
		const {load, slowdowns} = this.dependencies;
		const memory = this.prices.predictMemory(server, request, now);
		const tokens = memory ? Math.max(0, memory.own + memory.peers + memory.growth) : load.getTokens(server);
		return {
			requests: Math.max(load.getRequests(server), tokens / computeUsualRequestTokens(request.model)), tokens, slowdown: slowdowns.getFactor(server, now),
		};
	}

	private findUsableServers({service, excluded}: PipelineRequest, now: number): readonly BackendServer[] {
		const {directory, serverHealth, backpressure} = this.dependencies;
		return directory.usable(service).filter(server =>
			server.range !== undefined && !excluded.has(getIncarnationId(server)) && serverHealth.isUsable(server, now) && !backpressure.pauses.isPaused(server, now));
	}

	private createCosts({model, firstStageCandidates}: PipelineRequest, layerCosts: ReadonlyMap<BackendServer, number>, now: number): PipelineCosts {
		const fastest = model.layers * Math.min(...[...model.acceleratorTypes.values()].map(({pace}) => pace));
		const allowedFirst = new Map<BackendServer, boolean>();
		const isAllowedFirst = (server: BackendServer) => {
			const isAllowed = allowedFirst.get(server) ?? this.isAllowedFirst(server, firstStageCandidates, now);
			allowedFirst.set(server, isAllowed);
			return isAllowed;
		};

		const computeStageCost = (server: BackendServer, range: LayerRange) => {
			if (range.from === 0 && !isAllowedFirst(server)) {
				return Number.POSITIVE_INFINITY;
			}

			const isRemote = range.from === 0 && server.availabilityZone !== this.dependencies.availabilityZone;
			return (getLayerCount(range) * layerCosts.get(server)!) + (isRemote ? fastest * this.weights.remoteZone : 0);
		};

		return {computeStageCost, crossingCost: fastest * this.weights.crossing};
	}

	/** Whether a server may get the request as the first stage of a pipeline. Only the first stage's limit counts the request. */
	private isAllowedFirst(server: BackendServer, candidates: ReadonlySet<string> | undefined, now: number): boolean {
		return (!candidates || candidates.has(getIncarnationId(server))) && this.dependencies.backpressure.limits.allows(server, now);
	}
}
