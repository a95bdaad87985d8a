import {type Backpressure} from '../../backpressure/backpressure.js';
import {type DecisionLog} from '../../observation/decision-log.js';
import {type Metrics} from '../../observation/metrics.js';
import {type BackendServer} from '../../pipelines/backend-server.js';
import {type Pipeline} from '../../pipelines/pipeline.js';
import {QueryReason} from '../../pipelines/query-reason.js';
import {type ServerHealthTracker} from '../../pipelines/server-health-tracker.js';
import {isSlow, type ServerSlowdowns} from '../../pipelines/server-slowdowns.js';
import {type StageReporter} from '../../pipelines/stage-reporter.js';
import {getErrorMessage} from '../../results/to-failure.js';
import {type RandomSource} from '../../routing/random-source.js';
import {type TimerService} from '../../time/timer-service.js';
import {type QueryBudget} from './query-budget.js';

export type SlowdownPollerDependencies = {
	readonly reporter: StageReporter;
	readonly serverHealth: ServerHealthTracker;
	readonly backpressure: Backpressure;
	readonly serverSlowdowns: ServerSlowdowns;
	readonly budget: QueryBudget;
	readonly random: RandomSource;
	readonly timers: TimerService;
	readonly metrics: Metrics;
	readonly log: DecisionLog;
};

/** Queries how slow backend servers are, within a budget that all instances share; they tell each other what they learn. */
export class SlowdownPoller {
	/**
	@param interval - milliseconds between two queries of a server, whichever instance makes them
	*/
	constructor(private readonly dependencies: SlowdownPollerDependencies, private readonly interval: number) {}

	/** Queries the stages of a silent stream of which no instance learnt lately how slow they are. A suspected stage explains the silence. */
	pollStages(stages: Pipeline): void {
		const {serverHealth, serverSlowdowns, backpressure, budget, random, timers} = this.dependencies;
		const now = timers.now();
		if (stages.some(({server}) => serverHealth.isSuspected(server, now))) {
			return;
		}

		const candidates = stages.map(({server}) => server).filter(server =>
			now - (serverSlowdowns.getAskedAt(server) ?? Number.NEGATIVE_INFINITY) >= this.interval && !backpressure.pauses.isPaused(server, now));
		while (candidates.length > 0 && budget.tryAcquire(now)) {
			const [server] = candidates.splice(random.nextInteger(candidates.length), 1);
			serverSlowdowns.recordQuery(server, now);
			void this.query(server);
		}
	}

	private async query(server: BackendServer): Promise<void> {
		const {reporter, serverSlowdowns, timers, metrics, log} = this.dependencies;
		metrics.count('siskinnotch_server_queries', 1, {reason: QueryReason.Slowness});
		try {
			const {slowdownFactor} = await reporter.fetchReport(server);
			serverSlowdowns.record(server, slowdownFactor, timers.now());
			if (isSlow(slowdownFactor)) {
				log.write('server.slow', {server: server.id, pace: slowdownFactor});
			}
		} catch (error) {
			log.write('server.no_pace', {server: server.id, reason: getErrorMessage(error)});
		}
	}
}
