import {type BackendServer} from '../../pipelines/backend-server.js';
import {type TimerHandle} from '../../time/timer-handle.js';
import {type ExchangeDependencies} from '../exchange-dependencies.js';
import {type PlainAttempt} from './plain-attempt.js';
import {type PlainAttempts} from './plain-attempts.js';
import {type PlainDelivery} from './plain-delivery.js';
import {type PlainRetryPolicy} from './plain-retry-policy.js';
import {type PlainServerChoice} from './plain-server-choice.js';

/** What a hedger needs to know of its request. */
export type HedgedPlainRequest = {
	readonly attempts: PlainAttempts;
	readonly servers: PlainServerChoice;
	readonly delivery: PlainDelivery;
	readonly retryPolicy: PlainRetryPolicy;
};

/** Carries out what a hedger decides. */
export type PlainHedgeHandler = {
	/** Takes a retry from the budget if the request may be sent again. */
	tryAcquireHedge(): boolean;
	send(server: BackendServer): void;
	/** Completes the reply with the response of a dropped attempt. */
	deliver(attempt: PlainAttempt): void;
};

/** Sends a plain request to a further server while its attempts are silent. The silent attempts are kept, since only a response shows which of the servers can take the request. */
export class PlainHedger {
	private timer?: TimerHandle;

	constructor(
		private readonly dependencies: Pick<ExchangeDependencies, 'serverHealth' | 'timers'>,
		private readonly hedged: HedgedPlainRequest,
		private readonly handler: PlainHedgeHandler,
	) {}

	/** Waits for a response to the attempts in progress, while there is something else to do without one. */
	start(): void {
		this.cancel();
		const {attempts, delivery, retryPolicy} = this.hedged;
		if (retryPolicy.allowsExecution || delivery.answer) {
			this.timer = this.dependencies.timers.after(attempts.responseTimeout, () => {
				this.handleSilence();
			});
		}
	}

	cancel(): void {
		this.timer?.cancel();
	}

	/** Goes on with the attempts that are left. If all have been silent for long, a server that has not been tried gets the request at once; if there is none, an answer that is in hand is passed on. */
	continueWithOthers(): void {
		const {attempts, servers, delivery, retryPolicy} = this.hedged;
		const now = this.dependencies.timers.now();
		if (attempts.all.some(attempt => !attempt.isSilent(now))) {
			this.start();
			return;
		}

		const untried = retryPolicy.allowsExecution ? servers.selectUntried(now) : undefined;
		if (this.hedge(untried)) {
			delivery.forgetError();
		} else if (delivery.answer) {
			this.handler.deliver(delivery.answer);
		} else {
			this.start();
		}
	}

	/** Sends the request to a further server as well, or passes on the answer that is in hand. */
	private handleSilence(): void {
		const {attempts, servers, delivery, retryPolicy} = this.hedged;
		const busy = attempts.all.map(({server}) => server);
		const server = retryPolicy.allowsExecution ? servers.select(this.dependencies.timers.now(), busy) : undefined;
		if (!this.hedge(server) && !attempts.hasHead && delivery.answer) {
			this.handler.deliver(delivery.answer);
		}
	}

	/** Sends the request to a further server as well; returns whether it was sent. */
	private hedge(server: BackendServer | undefined): boolean {
		const {serverHealth, timers} = this.dependencies;
		const {attempts} = this.hedged;
		const mayHedge = !attempts.hasHead && server && !serverHealth.isSuspected(server, timers.now());
		if (!mayHedge || !this.handler.tryAcquireHedge()) {
			return false;
		}

		attempts.recordSilence();
		this.handler.send(server);
		return true;
	}
}
