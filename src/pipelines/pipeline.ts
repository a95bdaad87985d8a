import {type BackendServer} from './backend-server.js';
import {type LayerRange} from './layer-range.js';

/** One stage of a pipeline: a backend server and the layers that it runs for a request. */
export type Stage = {
	readonly server: BackendServer;
	readonly range: LayerRange;
};

/** The stages of a request, in order; together they run each layer exactly once. */
export type Pipeline = readonly Stage[];

/** Formats a pipeline in one line for logs. */
export function describePipeline(pipeline: Pipeline): string {
	return pipeline.map(({server, range}) => `${server.id}:${range.from}-${range.to}`).join(',');
}

/** Whether the stages run all layers of a model, each exactly once and in order. */
export function coversAllLayers(pipeline: Pipeline, layers: number): boolean {
	let next = 0;
	for (const {range} of pipeline) {
		if (range.from !== next || range.to <= range.from) {
			return false;
		}

		next = range.to;
	}

	return next === layers;
}
