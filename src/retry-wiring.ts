import {RetryBorrowing} from './admission/retry-borrowing.js';
import {RetryBudget} from './admission/retry-budget.js';
import {type Control} from './control-wiring.js';
import {type Lifecycle} from './lifecycle.js';
import {type DecisionLog} from './observation/decision-log.js';
import {type Metrics} from './observation/metrics.js';
import {type GossipClients} from './peers/gossip-clients.js';
import {RetryLoans} from './peers/retry-loans.js';
import {type RetryBudgets} from './relay/exchange-dependencies.js';
import {type RandomSource} from './routing/random-source.js';
import {type RouterSettings} from './settings/router-settings.js';
import {type TimerService} from './time/timer-service.js';

/** What the retry budgets are built from. */
export type RetryDependencies = Pick<Control, 'instanceRegistry' | 'findResponsivePeers'> & {
	readonly clients: GossipClients;
	readonly lifecycle: Lifecycle;
	readonly random: RandomSource;
	readonly timers: TimerService;
	readonly metrics: Metrics;
	readonly log: DecisionLog;
	/** Whether the service is one of the active configuration. */
	readonly isKnownService: (service: string) => boolean;
	/** Whether replies of the service can be continued by another attempt. */
	readonly isResumable: (service: string) => boolean;
	/** Called when another instance has lent retries. */
	readonly onLoan: () => void;
};

/** The retry budgets of this instance, and its loans with other instances. */
export type Retries = {
	readonly budgets: RetryBudgets;
	readonly loans: RetryLoans;
	/** Adjusts the budgets to the number of instances that share the allowance. */
	updateShares(): void;
};

/** Retries per window at most while the number of instances that share the allowance is unknown. */
const initialRetryAllowance = 5;
/** Fraction of the retry allowance that the instances use together. */
const retryAllowanceFraction = 0.7;

/** Creates the retry budgets of all services, which the instances share. */
export function wireRetries({instance, limits}: RouterSettings, dependencies: RetryDependencies): Retries {
	const {instanceRegistry, findResponsivePeers, clients, lifecycle, random, timers, metrics, log, isKnownService, isResumable, onLoan} = dependencies;
	const budgets = new Map<string, RetryBudget>();
	// Leaves a part of the allowance unused, so that the total stays within it while instances are being added.
	const computeShare = () => {
		const share = limits.retry_allowance * retryAllowanceFraction / instanceRegistry.all().length;
		return instanceRegistry.isInitialized ? share : Math.min(share, initialRetryAllowance);
	};

	const findBudget = (service: string) => {
		// A reply that can't be continued needs no retry kept for it.
		const reservedFraction = isResumable(service) ? undefined : 0;
		const budget = budgets.get(service) ?? new RetryBudget(limits.retry_ratio, computeShare(), limits.retry_window, reservedFraction);
		budgets.set(service, budget);
		return budget;
	};

	const loans = new RetryLoans({
		borrowing: new RetryBorrowing(instance.availability_zone, findResponsivePeers, random),
		clients, findBudget, isKnownService, lifecycle, timers, metrics, log, onLoan,
	});
	return {
		budgets: {
			forService: findBudget,
			replenish(service, urgency) {
				loans.replenish(service, urgency);
			},
			mayBorrow: urgency => loans.mayBorrow(urgency),
		},
		loans,
		updateShares() {
			for (const budget of budgets.values()) {
				budget.setMinimum(computeShare());
			}
		},
	};
}
