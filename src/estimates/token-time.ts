import {type BackendServer} from '../pipelines/backend-server.js';
import {type EngineModel} from '../pipelines/engine-model.js';
import {getLayerCount} from '../pipelines/layer-range.js';
import {type Pipeline} from '../pipelines/pipeline.js';

const tokensPerThousand = 1000;

/**
Predicts the milliseconds that a pipeline takes for each token of an answer, from the model and the load.

@param tokens - tokens that the request holds
@param countRequests - returns the requests that a server runs
*/
export function predictTokenTime(pipeline: Pipeline, model: EngineModel, tokens: number, countRequests: (server: BackendServer) => number): number {
	let time = 0;
	for (const {server, range} of pipeline) {
		const pace = model.acceleratorTypes.get(server.card)?.pace ?? 1;
		const step = model.stepTime + (model.stepTimePerRequest * countRequests(server)) + (model.stepTimePerThousandTokens * tokens / tokensPerThousand);
		time += pace * step * getLayerCount(range) / model.layers;
	}

	return time;
}
