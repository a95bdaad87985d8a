/** Route policies that the settings can name. */
export enum RoutePolicyKind {
	/** Two draws weighted by the maximum flow, of which the less loaded server is selected. */
	Flow = 'flow',
	/** Baseline: the servers of each layer range in turn. */
	RoundRobin = 'round-robin',
	/** Baseline: the least loaded server as last reported. */
	LeastLoaded = 'least-loaded',
	/** Baseline: the less loaded of two random servers. */
	RandomPair = 'random-pair',
}
