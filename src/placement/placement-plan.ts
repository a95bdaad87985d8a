/** How the initial ranges of the servers of a zone are planned. */
export enum PlacementPlan {
	/** The better one of a plan of balanced chains and of the plan of copies. */
	Balanced = 'balanced',
	/** Copies of one chain. */
	Chains = 'chains',
}
