import {computeUsualRequestTokens, type EngineModel} from '../pipelines/engine-model.js';
import {getLayerCount} from '../pipelines/layer-range.js';
import {findPipeline} from '../pipelines/pipeline-finder.js';
import {type Pipeline} from '../pipelines/pipeline.js';
import {type BackendServer} from '../pipelines/backend-server.js';
import {computeMaxCapacity, computeUsefulCapacity, type Placement} from './initial-placement.js';

/** The usual requests that a placement can run at the same time when pipelines are selected one after the other. */
export type PackedLoad = {
	/** Tokens that the requests hold when they end. */
	readonly tokens: number;
	/** Tokens divided by the time of a step of their pipeline under this load. In this proportion, the requests end and make room for others. */
	readonly rate: number;
};

/** Fraction of the useful capacity of a server that is filled by one selection. Smaller steps take longer. */
const stepShare = 1 / 8;
/** Factor by which the squared occupancy of a server raises the cost of its layers, as in the selection of pipelines. */
const occupancyWeight = 3;
/** Relative excess over the capacity that rounding may cause. */
const tolerance = 1e-6;
/** Time that one more stage adds to a step, in milliseconds: the transfer within a zone. */
const stageTime = 0.3;

/** Returns the duration of a step of all layers on the reference accelerator while requests hold a number of tokens. */
function computeStepTime(model: EngineModel, tokens: number): number {
	return model.stepTime + (model.stepTimePerRequest * tokens / computeUsualRequestTokens(model)) + (model.stepTimePerThousandTokens * tokens / 1000);
}

/**
Fills the servers of a placement with requests, whose pipelines are selected as for requests from callers, until no pipeline has capacity.

The capacity at the scarcest layer is not reached where pipelines use parts of ranges, because a request takes memory for all layers of a server.
*/
export function packRequests(placements: readonly Placement[], model: EngineModel): PackedLoad {
	const step = computeMaxCapacity(model) * stepShare;
	const loads = new Map<BackendServer, {used: number; readonly capacity: number; readonly pace: number}>();
	for (const {server, range} of placements) {
		const acceleratorType = model.acceleratorTypes.get(server.card);
		if (acceleratorType) {
			loads.set({...server, range}, {used: 0, capacity: computeUsefulCapacity(model, acceleratorType, getLayerCount(range)), pace: acceleratorType.pace});
		}
	}

	const pipelines: Pipeline[] = [];
	for (;;) {
		const servers = [...loads].flatMap(([server, {used, capacity}]) => used + step <= capacity * (1 + tolerance) ? [server] : []);
		const pipeline = findPipeline(servers, model.layers, {
			crossingCost: 0,
			computeStageCost(server, range) {
				const {used, capacity, pace} = loads.get(server)!;
				return getLayerCount(range) * pace * (1 + (occupancyWeight * ((used / capacity) ** 2)));
			},
		})?.pipeline;
		if (!pipeline) {
			break;
		}

		for (const {server} of pipeline) {
			loads.get(server)!.used += step;
		}

		pipelines.push(pipeline);
	}

	let rate = 0;
	for (const pipeline of pipelines) {
		let time = 0;
		for (const {server, range} of pipeline) {
			const {pace, used} = loads.get(server)!;
			time += stageTime + (getLayerCount(range) / model.layers * pace * computeStepTime(model, used));
		}

		rate += step / time;
	}

	return {tokens: pipelines.length * step, rate};
}
