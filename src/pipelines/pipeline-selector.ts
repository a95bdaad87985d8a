import {getIncarnationId, type BackendServer} from './backend-server.js';
import {computeTokenCapacity, type EngineModel} from './engine-model.js';
import {getLayerCount, type LayerRange} from './layer-range.js';
import {type InterzoneBandwidthBudget} from './interzone-bandwidth-budget.js';
import {findPipeline, type PipelineCosts} from './pipeline-finder.js';
import {type Pipeline} from './pipeline.js';
import {type ServerHealthTracker} from './server-health-tracker.js';
import {type ServerDirectory} from './server-directory.js';
import {type ServerSlowdowns} from './server-slowdowns.js';
import {type ServerLoad} from './server-load.js';

/** What a request needs of a pipeline. */
export type PipelineRequest = {
	readonly service: string;
	readonly model: EngineModel;
	/** Tokens that the request will hold at its end. */
	readonly tokens: number;
	/** Lives of servers that must not be used. */
	readonly excluded: ReadonlySet<string>;
	/** Lives of the servers that may be the first stage; any where undefined. */
	readonly firstStageCandidates?: ReadonlySet<string>;
};

/** How the chooser weighs pipelines. */
export type SelectionWeights = {
	/** Cost of beginning in another availability zone, relative to all layers on the fastest card. */
	readonly remoteZone: number;
	/** Cost of passing from one availability zone to another, relative to all layers on the fastest card. */
	readonly crossing: number;
	/** Part of a server's memory up to which requests are sent to it. */
	readonly fullest: number;
	/** How strongly memory in use raises the cost of a stage. */
	readonly crowding: number;
	/** Milliseconds for which a server's word of its load counts. */
	readonly loadAge: number;
};

/** The parts that a chooser asks. */
export type PipelineSelectorDependencies = {
	readonly directory: ServerDirectory;
	readonly serverHealth: ServerHealthTracker;
	readonly load: ServerLoad;
	readonly slowdowns: ServerSlowdowns;
	/** Availability zone of this instance. */
	readonly availabilityZone: string;
	/** What may be passed between availability zones. */
	readonly interzoneBandwidth: InterzoneBandwidthBudget;
	/** Tokens that requests of other instances hold on a server, as far as known. */
	readonly getPeerTokens: (server: BackendServer, now: number) => number;
};

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

/** How often a pipeline passes from one availability zone to another. */
function crossingsOf(pipeline: Pipeline): number {
	return pipeline.filter(({server}, index) => index > 0 && server.availabilityZone !== pipeline[index - 1].server.availabilityZone).length;
}

/**
Chooses the pipeline of a request: the cheapest by time on its accelerators and memory in use. It stays within one availability zone where one has all layers, since all servers share the pipe between zones; where none has, it crosses as far as the pipe allows.
*/
export class PipelineSelector {
	constructor(private readonly dependencies: PipelineSelectorDependencies, private readonly weights: SelectionWeights) {}

	/** The pipeline to use now; undefined where no usable servers with room cover all layers. */
	select(request: PipelineRequest, now: number): Pipeline | undefined {
		const {model} = request;
		const pipeline = findPipeline(this.usableServers(request, now), model.layers, this.costsOf(request, now))?.pipeline;
		const crossings = pipeline ? crossingsOf(pipeline) : 0;
		const bytes = crossings * request.tokens * model.activationBytes;
		return crossings === 0 || this.dependencies.interzoneBandwidth.tryConsume(bytes, model.interzoneMegabits, now) ? pipeline : undefined;
	}

	private usableServers({service, excluded}: PipelineRequest, now: number): readonly BackendServer[] {
		return this.dependencies.directory.usable(service).filter(server =>
			server.range !== undefined && !excluded.has(getIncarnationId(server)) && this.dependencies.serverHealth.isUsable(server, now));
	}

	private costsOf({model, tokens, firstStageCandidates: firstAmong}: PipelineRequest, now: number): PipelineCosts {
		const fastest = model.layers * Math.min(...[...model.acceleratorTypes.values()].map(({pace}) => pace));
		const factors = new Map<BackendServer, number>();
		const stage = (server: BackendServer, range: LayerRange) => {
			const isAllowed = range.from > 0 || !firstAmong || firstAmong.has(getIncarnationId(server));
			if (!isAllowed) {
				return Number.POSITIVE_INFINITY;
			}

			const factor = factors.get(server) ?? this.costOfLayer(server, model, tokens, now);
			factors.set(server, factor);
			const isRemote = range.from === 0 && server.availabilityZone !== this.dependencies.availabilityZone;
			return (getLayerCount(range) * factor) + (isRemote ? fastest * this.weights.remoteZone : 0);
		};

		return {computeStageCost: stage, crossingCost: fastest * this.weights.crossing};
	}

	/** Cost of one layer on a server; infinite where it has no room for the tokens. */
	private costOfLayer(server: BackendServer, model: EngineModel, tokens: number, now: number): number {
		const card = model.acceleratorTypes.get(server.card);
		if (!card || !server.range) {
			return Number.POSITIVE_INFINITY;
		}

		const capacity = computeTokenCapacity(model, card, getLayerCount(server.range));
		const occupancy = this.occupancyOf(server, capacity, now);
		return occupancy + (tokens / capacity) > this.weights.fullest
			? Number.POSITIVE_INFINITY
			: card.pace * this.dependencies.slowdowns.getFactor(server, now) * (1 + (this.weights.crowding * (occupancy ** 2)));
	}

	private occupancyOf(server: BackendServer, capacity: number, now: number): number {
		const {load, getPeerTokens: otherTokensOn} = this.dependencies;
		const memory = (load.getTokens(server) + otherTokensOn(server, now)) / capacity;
		const reported = load.getReportedRequests(server, now, this.weights.loadAge) ?? 0;
		return Math.max(memory, Math.max(reported, load.getRequests(server)) / Math.max(1, server.slots));
	}
}
