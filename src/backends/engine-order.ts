/** An order to a model engine: the state that it shall have. */
export type EngineOrder = {
	readonly model: string;
	readonly version: string;
	readonly firstLayer: number;
	readonly endLayer: number;
	/** Number of the lease under which the order is given; an engine that checks refuses a lower one than it has seen. */
	readonly fencing: number;
};
