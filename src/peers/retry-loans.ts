import {loanLifetimeMs, type LoanRequest, type RetryBorrowing} from '../admission/retry-borrowing.js';
import {type RetryBudget} from '../admission/retry-budget.js';
import {RetryUrgency} from '../admission/retry-urgency.js';
import {type Lifecycle} from '../lifecycle.js';
import {type DecisionLog} from '../observation/decision-log.js';
import {type Metrics} from '../observation/metrics.js';
import {getErrorMessage} from '../results/to-failure.js';
import {type TimerService} from '../time/timer-service.js';
import {type GossipClients} from './gossip-clients.js';
import {type LoanCall, type RetryLender} from './gossip-procedures.js';

/** Dependencies of the loans of retries. */
export type RetryLoansDependencies = {
	readonly borrowing: RetryBorrowing;
	readonly clients: Pick<GossipClients, 'borrowRetries'>;
	/** Returns the retry budget of a service. */
	readonly findBudget: (service: string) => RetryBudget;
	readonly isKnownService: (service: string) => boolean;
	readonly lifecycle: Pick<Lifecycle, 'isDraining'>;
	readonly timers: TimerService;
	readonly metrics: Metrics;
	readonly log: DecisionLog;
	/** Called when retries were borrowed. */
	readonly onLoan: () => void;
};

/** Borrows retries from other instances, and lends them some. */
export class RetryLoans implements RetryLender {
	constructor(private readonly dependencies: RetryLoansDependencies) {}

	/** Asks another instance for retries of a service if none is left. An instance that stops borrows only for replies that have begun. */
	replenish(service: string, urgency: RetryUrgency): void {
		const {borrowing, findBudget, timers} = this.dependencies;
		if (!this.isAllowed(urgency)) {
			return;
		}

		const now = timers.now();
		const request = borrowing.request(service, findBudget(service).countAvailable(now, urgency), now, urgency);
		if (request) {
			void this.borrow(request);
		}
	}

	/** Whether another instance may lend retries. */
	mayBorrow(urgency: RetryUrgency): boolean {
		return this.isAllowed(urgency) && this.dependencies.borrowing.hasLenders;
	}

	lend({service, retries, lifetime}: LoanCall): number {
		const {findBudget, isKnownService, metrics, timers} = this.dependencies;
		const lent = isKnownService(service) ? findBudget(service).lend(retries, lifetime, timers.now()) : 0;
		metrics.count('siskinnotch_retries_lent', lent);
		return lent;
	}

	/** An instance that stops borrows nothing for new work. */
	private isAllowed(urgency: RetryUrgency): boolean {
		return urgency === RetryUrgency.Begun || !this.dependencies.lifecycle.isDraining;
	}

	private async borrow(request: LoanRequest): Promise<void> {
		const {borrowing, findBudget, timers, metrics, log, onLoan} = this.dependencies;
		metrics.count('siskinnotch_loan_requests');
		const lent = await this.ask(request);
		const loan = borrowing.receive(request.number, lent, timers.now());
		if (loan) {
			metrics.count('siskinnotch_retries_borrowed', loan.retries);
			log.write('retries.borrowed', {peer: request.lender.peers, service: loan.service, retries: loan.retries});
			findBudget(loan.service).addBorrowed(loan.retries, loan.expiresAt, loan.urgency);
			onLoan();
		}
	}

	/** Returns the number of retries that the instance lent. One that doesn't answer, or whose build has no loans, lent none, which says nothing about its health. */
	private async ask({lender, service, retries}: LoanRequest): Promise<number> {
		const {clients, log} = this.dependencies;
		try {
			return await clients.borrowRetries(lender.peers, {service, retries, lifetime: loanLifetimeMs});
		} catch (error) {
			log.write('retries.not_borrowed', {peer: lender.peers, service, reason: getErrorMessage(error)});
			return 0;
		}
	}
}
