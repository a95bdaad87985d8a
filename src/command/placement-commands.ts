import {readFile} from 'node:fs/promises';
import * as z from 'zod';
import {type BackendServer} from '../pipelines/backend-server.js';
import {type EngineModel} from '../pipelines/engine-model.js';
import {groupByZone} from '../pipelines/pipeline-selector.js';
import {computeServerCapacity} from '../placement/layer-capacity.js';
import {PlacementPlan} from '../placement/placement-plan.js';
import {computePlacementFigures, planZonePlacement, type PlacementFigures} from '../placement/zone-placement.js';
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
	/** How the ranges are planned, as in the setting of the same name. */
	plan: z.enum(PlacementPlan).default(PlacementPlan.Balanced),
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
	readonly plan: PlacementPlan;
	readonly placements: ReadonlyArray<{readonly server: string; readonly card: string; readonly from: number; readonly to: number; readonly tokens: number}>;
	/** Number of usual requests that fit at the same time, limited by the layer with the least token capacity. */
	readonly requests: number;
	readonly figures: PlacementFigures;
};

function planZone(availabilityZone: string, servers: readonly BackendServer[], model: EngineModel, fleet: FleetFile): ZonePlan {
	const {plan, placements} = planZonePlacement(servers, model, fleet.room, fleet.plan);
	const figures = computePlacementFigures(servers, placements, model);
	return {
		availabilityZone,
		plan,
		placements: placements.map(({server, range}) => ({
			server: server.id, card: server.card, from: range.from, to: range.to, tokens: Math.round(computeServerCapacity(server, range, model)),
		})),
		requests: figures.scarcest,
		figures,
	};
}

function formatZone({availabilityZone, plan, placements, requests, figures}: ZonePlan): string {
	if (placements.length === 0) {
		return `${availabilityZone}: its servers have too little memory for the model`;
	}

	const rows = placements.map(({server, card, from, to, tokens}) => [server, card, `${from}-${to}`, tokens]);
	return [
		`${availabilityZone}: ${requests} usual requests at once at the scarcest layer, ${figures.mean} on average, bound ${figures.bound}, loss ${figures.loss}`,
		`plan ${plan}: ${figures.packed} requests packed one after the other, ${figures.boundaries} boundaries`,
		formatTable(['server', 'card', 'layers', 'token capacity'], rows),
	].join('\n');
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
	const plans = [...groupByZone(createServers(fleet))].map(([zone, servers]) => planZone(zone, servers, model, fleet));
	return success({zones: plans}, plans.map(plan => formatZone(plan)).join('\n\n'));
}
