import {QueryBudget} from './relay/streams/query-budget.js';
import {SlowdownPoller, type SlowdownPollerDependencies} from './relay/streams/slowdown-poller.js';
import {StreamMonitor, type StreamMonitorDependencies} from './relay/streams/stream-monitor.js';

/** Durations in milliseconds; `rejectionThreshold` is a count. */
const streamMonitorTimings = {
	checkInterval: 100,
	rejectionThreshold: 4,
	healthCheckInterval: 1500,
	slownessThreshold: 250,
	blockedQueryThreshold: 330,
	silenceTimeout: 1300,
	blockedQueryInterval: 300,
};
/** Age from which the slowdown factor of a server is queried again. */
const slowdownQueryIntervalMs = 1500;
/** Limits of queries for slowdown factors; `burst` in milliseconds. */
const slowdownQueryLimits = {perServerAndSecond: 1, burst: 1000, minBurst: 3};

/** What the monitoring of streams is built from. */
export type StreamMonitorParts = Omit<StreamMonitorDependencies, 'slowdownPoller'> & Omit<SlowdownPollerDependencies, 'budget'> & {
	/** Returns the number of instances that query the servers. */
	readonly countInstances: () => number;
};

/** Creates the part that monitors streams for silence, and asks servers how slow they are. */
export function wireStreamMonitor({countInstances, ...dependencies}: StreamMonitorParts): StreamMonitor {
	const slowdownPoller = new SlowdownPoller({
		...dependencies, budget: new QueryBudget(slowdownQueryLimits, () => ({servers: dependencies.directory.all().length, instances: countInstances()})),
	}, slowdownQueryIntervalMs);
	return new StreamMonitor({...dependencies, slowdownPoller}, streamMonitorTimings);
}
