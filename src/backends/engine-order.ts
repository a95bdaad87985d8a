/** An order to a model engine, which describes the desired state of the engine. */
export type EngineOrder = {
	readonly model: string;
	readonly version: string;
	readonly firstLayer: number;
	readonly endLayer: number;
	/** Fencing number of the lease under which the order is given. An engine that checks it refuses a number lower than the highest it has seen. */
	readonly fencing: number;
};
