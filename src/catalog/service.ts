import {type EngineModel} from '../pipelines/engine-model.js';

/** A group of interchangeable backend servers. */
export type Service = {
	readonly name: string;
	/** Path at which a backend server reports whether it is healthy and not leaving. */
	readonly healthPath: string;
	/** Maximum number of connections that one of its backend servers accepts from all callers together. */
	readonly maxConnections: number;
	/** Present if its backend servers hold layer ranges of a model. */
	readonly engine?: EngineModel;
};
