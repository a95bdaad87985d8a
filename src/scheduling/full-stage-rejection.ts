import {type BackendServer} from '../pipelines/backend-server.js';
import {type EngineModel} from '../pipelines/engine-model.js';
import {type Pipeline} from '../pipelines/pipeline.js';

/** A request that a stage of its pipeline rejected because it lacked memory. */
export type FullStageRejection = {
	/** The stage that is full. */
	readonly server: BackendServer;
	readonly pipeline: Pipeline;
	readonly model: EngineModel;
	/** Tokens that the request was expected to hold when it ends. */
	readonly tokens: number;
	/** Monotonic time in milliseconds. */
	readonly now: number;
};
