import {type EngineModel} from '../pipelines/engine-model.js';
import {getLayerCount} from '../pipelines/layer-range.js';
import {type Pipeline, type Stage} from '../pipelines/pipeline.js';
import {type PipelineRequest} from '../pipelines/pipeline-request.js';

/** The predicted times of a stage or of a whole pipeline, in milliseconds. */
export type PredictedTimes = {
	/** From the start to the first event. */
	readonly firstEventMs: number;
	/** Between two events. */
	readonly eventGapMs: number;
};

/** The load that determines how fast a server is. */
export type ServerPace = {
	readonly requests: number;
	readonly tokens: number;
	/** Step time relative to the usual one. */
	readonly slowdown: number;
};

const tokensPerThousand = 1000;

/** Predicts the times of one stage from its share of the layers and the load of its server. */
export function predictStageTimes({server, range}: Stage, model: EngineModel, promptTokens: number, {requests, tokens, slowdown}: ServerPace): PredictedTimes {
	const acceleratorType = model.acceleratorTypes.get(server.card);
	if (!acceleratorType) {
		return {firstEventMs: Number.POSITIVE_INFINITY, eventGapMs: Number.POSITIVE_INFINITY};
	}

	const share = slowdown * getLayerCount(range) / model.layers;
	const step = model.stepTime + (model.stepTimePerRequest * requests) + (model.stepTimePerThousandTokens * tokens / tokensPerThousand);
	const eventGapMs = share * acceleratorType.pace * step * model.tokensPerEvent;
	return {firstEventMs: (share * acceleratorType.readFactor * promptTokens / model.prefillRate) + eventGapMs, eventGapMs};
}

/**
Predicts the times of a pipeline: the sums over its stages, and the network delay of a pipeline in another zone.

@param getPace - returns the load of a stage's server
*/
export function predictTimes(pipeline: Pipeline, request: Pick<PipelineRequest, 'model' | 'promptTokens'>, networkDelay: number, getPace: (stage: Stage) => ServerPace): PredictedTimes {
	const {model, promptTokens = model.usualPrompt} = request;
	let firstEventMs = networkDelay;
	let eventGapMs = 0;
	for (const stage of pipeline) {
		const times = predictStageTimes(stage, model, promptTokens, getPace(stage));
		firstEventMs += times.firstEventMs;
		eventGapMs += times.eventGapMs;
	}

	return {firstEventMs, eventGapMs};
}

/** Whether the first event and the pauses of a pipeline are on time for a request. */
export function areOnTime({firstEventMs, eventGapMs}: PredictedTimes, request: Pick<PipelineRequest, 'latencyTarget' | 'eventGapTarget'>): boolean {
	const {latencyTarget = Number.POSITIVE_INFINITY, eventGapTarget = Number.POSITIVE_INFINITY} = request;
	return firstEventMs <= latencyTarget && eventGapMs <= eventGapTarget;
}
