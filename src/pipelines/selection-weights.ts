/** Weights and limits of the pipeline selection. Costs are relative to running all layers on the fastest accelerator type. */
export type SelectionWeights = {
	/** Cost of starting in another availability zone. */
	readonly remoteZone: number;
	/** Cost of each transfer from one availability zone to another. */
	readonly crossing: number;
	/** Largest occupancy up to which a server gets new requests, as a fraction of its capacity. */
	readonly maxOccupancy: number;
	/** Factor by which the squared occupancy of a server raises the cost of its stage. */
	readonly occupancyWeight: number;
	/** Milliseconds after which the load that a server reported is ignored. */
	readonly maxLoadAge: number;
};
