import {type RetryBudget} from '../admission/retry-budget.js';
import {type RetryUrgency} from '../admission/retry-urgency.js';
import {type Backpressure} from '../backpressure/backpressure.js';
import {type DecisionLog} from '../observation/decision-log.js';
import {type Metrics} from '../observation/metrics.js';
import {type ServerHealthTracker} from '../pipelines/server-health-tracker.js';
import {type ServerDirectory} from '../pipelines/server-directory.js';
import {type ServerLoad} from '../pipelines/server-load.js';
import {type TimerService} from '../time/timer-service.js';
import {type BackendClient} from './backend-client.js';
import {type CrashRecorder} from './crash-recorder.js';

/** The retry budgets of all services; each is shared by all requests to its service. */
export type RetryBudgets = {
	forService(service: string): RetryBudget;
	/** Asks another instance for retries if the budget of the service has none left; called after a retry was denied. */
	replenish(service: string, urgency: RetryUrgency): void;
	/** Whether another instance may lend retries. */
	mayBorrow(urgency: RetryUrgency): boolean;
};

/** Dependencies that all exchanges share. */
export type ExchangeDependencies = {
	readonly client: BackendClient;
	readonly directory: ServerDirectory;
	readonly serverHealth: ServerHealthTracker;
	readonly backpressure: Backpressure;
	readonly load: ServerLoad;
	readonly crashGuard: CrashRecorder;
	readonly retryBudgets: RetryBudgets;
	readonly timers: TimerService;
	readonly metrics: Metrics;
	readonly log: DecisionLog;
};
