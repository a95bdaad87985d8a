import {type CurrencyReport} from '../replication/table-currency.js';
import {Execution} from '../results/execution.js';
import {Failure} from '../results/failure.js';
import {ResultCode} from '../results/result-code.js';
import {type TimerService} from '../time/timer-service.js';
import {type AuthorizationRequest, type AuthorizedRequest, type RequestAuthorizer} from './request-authorizer.js';

export type CarefulAuthorizerDependencies = {
	readonly authorizer: RequestAuthorizer;
	/** Tells how current this instance's configuration is. */
	readonly catalogCurrency: {describe(): CurrencyReport};
	readonly timers: TimerService;
};

/** Refusals that only the configuration in force can justify. */
const configurationRefusals: ReadonlySet<ResultCode> = new Set([ResultCode.PathUnknown, ResultCode.KeyMissing, ResultCode.KeyUnknown]);
/** Age of a copy from which there may be a newer one that no instance has told of. Each long poll of the store confirms a copy. */
const maxConfirmationAgeMs = 5000;
/** Time for which a request waits for a newer configuration. */
const maxWaitMs = 1000;
/** Fraction of the caller's timeout for which a request waits at most, so that the caller can try another instance. */
const maxWaitFraction = 0.25;
const maxWaitingRequests = 100;
const checkIntervalMs = 20;
const retryAfterSeconds = 0.5;

/** Authorizes requests, but refuses none for good by a configuration that may be out of date. */
export class CarefulAuthorizer {
	private waiting = 0;

	constructor(private readonly dependencies: CarefulAuthorizerDependencies) {}

	/**
	Authorizes a request. If another instance has a newer configuration that may allow it, waits for that one, at most until the timeout of the request's route.

	@param arrivedAt - monotonic time in milliseconds
	@param timeout - milliseconds from its arrival for which the caller waits for the reply; undefined if it did not say
	@throws Failure ConfigurationUnconfirmed if the request is not allowed, but may be by the configuration in force
	*/
	async authorize(request: AuthorizationRequest, arrivedAt: number, timeout = Number.POSITIVE_INFINITY): Promise<AuthorizedRequest> {
		const {authorizer, timers} = this.dependencies;
		for (;;) {
			try {
				return authorizer.authorize(request);
			} catch (error) {
				if (!(error instanceof Failure) || !configurationRefusals.has(error.code)) {
					throw error;
				}

				this.checkMayWait(error, arrivedAt + Math.min(maxWaitMs, timeout * maxWaitFraction, authorizer.findTimeout(request) ?? maxWaitMs));
			}

			this.waiting++;
			await timers.sleep(checkIntervalMs); // eslint-disable-line no-await-in-loop
			this.waiting--;
		}
	}

	/** Throws the refusal to reply with, unless it is worth waiting for a newer configuration. */
	private checkMayWait(refusal: Failure, waitsUntil: number): void {
		const {catalogCurrency, timers} = this.dependencies;
		const {isBehind, age} = catalogCurrency.describe();
		if (!isBehind && age <= maxConfirmationAgeMs) {
			throw refusal;
		}

		if (!isBehind || timers.now() >= waitsUntil || this.waiting >= maxWaitingRequests) {
			const reason = isBehind ? 'another instance has a newer configuration' : `the configuration was not confirmed for ${Math.round(age)} ms`;
			throw new Failure(ResultCode.ConfigurationUnconfirmed, `${reason}: ${refusal.message}`, Execution.NotRun, retryAfterSeconds);
		}
	}
}
