import {readFile} from 'node:fs/promises';
import * as z from 'zod';
import {type BackendServer} from '../pipelines/backend-server.js';
import {computeUsualRequestTokens, type EngineModel} from '../pipelines/engine-model.js';
import {groupByZone} from '../pipelines/pipeline-selector.js';
import {planInitialPlacement, computeTargetCapacity} from '../placement/initial-placement.js';
import {computeCapacityByLayer, computeServerCapacity} from '../placement/layer-capacity.js';
import {ResultCode} from '../results/result-code.js';
import {getErrorMessage} from '../results/to-failure.js';
import {
	type CommandResult, failure, formatTable, success,
} from './output.js';

/** Schema of a fleet file. Its field names belong to the file format. */
const fleetSchema = z.strictObject({
	model: z.strictObject({
		layers: z.int().positive(),
		layerMegabytes: z.number().positive(),
		tokenBytes: z.number().positive(),
		slots: z.int().positive(),
		usualPrompt: z.number().positive(),
		usualAnswer: z.number().positive(),
	}),
	cards: z.array(z.strictObject({name: z.string(), megabytes: z.number().positive(), pace: z.number().positive()})).min(1),
	servers: z.array(z.strictObject({availabilityZone: z.string(), card: z.string(), count: z.int().positive()})).min(1),
	/** Share of the model's slots for whose usual requests each layer needs token capacity. */
	room: z.number().min(0).max(1).default(0.6),
});

type FleetFile = z.infer<typeof fleetSchema>;

// The timings and the network have no effect on the placement, so those fields are placeholders.
function createModel({model, cards}: FleetFile): EngineModel {
	return {
		...model,
		stepTime: 1,
		stepTimePerRequest: 0,
		stepTimePerThousandTokens: 0,
		prefillRate: 1,
		tokensPerEvent: 1,
		activationBytes: 0,
		interzoneMegabits: 0,
		loadTime: 0,
		acceleratorTypes: new Map(cards.map(card => [card.name, {...card, readFactor: 1}])),
	};
}

function createServers({servers}: FleetFile): readonly BackendServer[] {
	return servers.flatMap(({availabilityZone, card, count}, group) => Array.from({length: count}, (_, index) => ({
		id: `${availabilityZone}/${card}-${group}-${index + 1}`,
		address: '',
		service: '',
		availabilityZone,
		isLeaving: false,
		startedAt: 0,
		slots: 0,
		card,
	})));
}

/** The planned placement in one availability zone. */
type ZonePlan = {
	readonly availabilityZone: string;
	readonly placements: ReadonlyArray<{readonly server: string; readonly card: string; readonly from: number; readonly to: number; readonly tokens: number}>;
	/** Number of usual requests that fit at the same time, limited by the layer with the least token capacity. */
	readonly requests: number;
};

function planZone(availabilityZone: string, servers: readonly BackendServer[], model: EngineModel, slotShare: number): ZonePlan {
	const placements = planInitialPlacement(servers, model, computeTargetCapacity(model, slotShare));
	const layerCapacities = computeCapacityByLayer(placements.map(placement => ({...placement, isLoaded: true})), model);
	return {
		availabilityZone,
		placements: placements.map(({server, range}) => ({
			server: server.id, card: server.card, from: range.from, to: range.to, tokens: Math.round(computeServerCapacity(server, range, model)),
		})),
		requests: placements.length === 0 ? 0 : Math.floor(Math.min(...layerCapacities) / computeUsualRequestTokens(model)),
	};
}

function formatZone({availabilityZone, placements, requests}: ZonePlan): string {
	if (placements.length === 0) {
		return `${availabilityZone}: its servers have too little memory for the model`;
	}

	const rows = placements.map(({server, card, from, to, tokens}) => [server, card, `${from}-${to}`, tokens]);
	return `${availabilityZone}: ${requests} usual requests at once\n${formatTable(['server', 'card', 'layers', 'token capacity'], rows)}`;
}

/** `placement plan`: prints which layers each server of a fleet file would load. */
export async function planPlacement(file: string): Promise<CommandResult> {
	let fleet: FleetFile;
	try {
		fleet = fleetSchema.parse(JSON.parse(await readFile(file, 'utf8')));
	} catch (error) {
		const reason = error instanceof z.ZodError ? z.prettifyError(error) : getErrorMessage(error);
		return failure(ResultCode.UsageError, `${file} is not a valid fleet description: ${reason}`);
	}

	const model = createModel(fleet);
	const plans = [...groupByZone(createServers(fleet))].map(([zone, servers]) => planZone(zone, servers, model, fleet.room));
	return success({zones: plans}, plans.map(plan => formatZone(plan)).join('\n\n'));
}
