import {lifeOf, type BackendServer} from './backend-server.js';
import {tokenCapacity, type EngineModel} from './engine-model.js';
import {lengthOf} from './layer-range.js';
import {findPipeline, type PricedPipeline, type StageCost} from './pipeline-finder.js';
import {type Pipeline} from './pipeline.js';
import {type ServerBeliefs} from './server-beliefs.js';
import {type ServerDirectory} from './server-directory.js';
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
	readonly firstAmong?: ReadonlySet<string>;
};

/** How the chooser weighs pipelines. */
export type ChooserWeights = {
	/** Cost of a pipeline in another availability zone, relative to the own. */
	readonly remoteZone: number;
	/** Cost of a stage that makes a pipeline cross availability zones, relative to one that does not. */
	readonly foreignStage: number;
	/** Part of a server's memory up to which requests are sent to it. */
	readonly fullest: number;
	/** How strongly memory in use raises the cost of a stage. */
	readonly crowding: number;
	/** Milliseconds for which a server's word of its load counts. */
	readonly loadAge: number;
};

/** The parts that a chooser asks. */
export type ChooserParts = {
	readonly directory: ServerDirectory;
	readonly beliefs: ServerBeliefs;
	readonly load: ServerLoad;
	/** Availability zone of this instance. */
	readonly availabilityZone: string;
	/** Tokens that requests of other instances hold on a server, as far as known. */
	readonly otherTokensOn: (server: BackendServer, now: number) => number;
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

/**
Chooses the pipeline of a request: the cheapest within one availability zone, by time on its accelerators and memory in use; across availability zones only where none has all layers.
*/
export class PipelineChooser {
	constructor(private readonly parts: ChooserParts, private readonly weights: ChooserWeights) {}

	/** The pipeline to use now; undefined where no usable servers cover all layers. */
	choose(request: PipelineRequest, now: number): Pipeline | undefined {
		const servers = this.usableServers(request, now);
		const zones = groupByZone(servers);
		const costOf = this.costOf(request, now);
		let best: PricedPipeline | undefined;
		for (const [zone, members] of zones) {
			const found = findPipeline(members, request.model.layers, costOf);
			const factor = zone === this.parts.availabilityZone ? 1 : this.weights.remoteZone;
			if (found && found.cost * factor < (best?.cost ?? Number.POSITIVE_INFINITY)) {
				best = {pipeline: found.pipeline, cost: found.cost * factor};
			}
		}

		return best?.pipeline ?? this.chooseAcrossZones(request, servers, [...zones.keys()], costOf);
	}

	private usableServers({service, excluded}: PipelineRequest, now: number): readonly BackendServer[] {
		return this.parts.directory.usable(service).filter(server =>
			server.range !== undefined && !excluded.has(lifeOf(server)) && this.parts.beliefs.isUsable(server, now));
	}

	private chooseAcrossZones({model}: PipelineRequest, servers: readonly BackendServer[], zones: readonly string[], costOf: StageCost): Pipeline | undefined {
		let best: PricedPipeline | undefined;
		for (const zone of zones) {
			const found = findPipeline(servers, model.layers, (server, range) =>
				costOf(server, range) * (server.availabilityZone === zone ? 1 : this.weights.foreignStage));
			if (found && found.cost < (best?.cost ?? Number.POSITIVE_INFINITY)) {
				best = found;
			}
		}

		return best?.pipeline;
	}

	private costOf({model, tokens, firstAmong}: PipelineRequest, now: number): StageCost {
		const occupancies = new Map<BackendServer, number>();
		return (server, range) => {
			const card = model.cards.get(server.card);
			const isAllowed = range.from > 0 || !firstAmong || firstAmong.has(lifeOf(server));
			if (!card || !server.range || !isAllowed) {
				return Number.POSITIVE_INFINITY;
			}

			const capacity = tokenCapacity(model, card, lengthOf(server.range));
			const occupancy = occupancies.get(server) ?? this.occupancyOf(server, capacity, now);
			occupancies.set(server, occupancy);
			if (occupancy + (tokens / capacity) > this.weights.fullest) {
				return Number.POSITIVE_INFINITY;
			}

			return lengthOf(range) * card.pace * (1 + (this.weights.crowding * (occupancy ** 2)));
		};
	}

	private occupancyOf(server: BackendServer, capacity: number, now: number): number {
		const {load, otherTokensOn} = this.parts;
		const memory = (load.tokensOn(server) + otherTokensOn(server, now)) / capacity;
		const reported = load.reportedOn(server, now, this.weights.loadAge) ?? 0;
		return Math.max(memory, Math.max(reported, load.requestsOn(server)) / Math.max(1, server.slots));
	}
}
