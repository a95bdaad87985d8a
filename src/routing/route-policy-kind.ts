/** Policies by which routes are chosen. */
export enum RoutePolicyKind {
	/** Weights by the maximum flow, the less loaded of two. */
	Flow = 'flow',
	/** Baseline: the servers of each range in turn. */
	RoundRobin = 'round-robin',
	/** Baseline: the least loaded server as last reported. */
	LeastLoaded = 'least-loaded',
	/** Baseline: the less loaded of a random pair. */
	RandomPair = 'random-pair',
}
