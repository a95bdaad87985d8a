import {type EngineModel} from '../pipelines/engine-model.js';

/** A group of interchangeable backend servers. */
export type Service = {
	readonly name: string;
	/** Where its backend servers tell whether they are healthy and not leaving. */
	readonly healthPath: string;
	/** The most connections that one of its backend servers accepts from all callers together. */
	readonly maxConnections: number;
	/** Present where its backend servers hold layer ranges of a model. */
	readonly engine?: EngineModel;
};
