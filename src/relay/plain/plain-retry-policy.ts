import {isRepeatable} from '../../catalog/route.js';
import {type TimerService} from '../../time/timer-service.js';
import {type RelayRequest} from '../relay-request.js';
import {type PlainAttempts} from './plain-attempts.js';

/** Attempts beyond the executions that the route allows, since an attempt that was not executed doesn't count as one. */
const extraAttempts = 3;

/** Whether one plain request may be sent again, apart from the retry budget. */
export class PlainRetryPolicy {
	constructor(private readonly request: RelayRequest, private readonly attempts: PlainAttempts, private readonly timers: TimerService) {}

	/** Whether the request may be executed once more. */
	get allowsExecution(): boolean {
		const {attempts: {executions}, request: {route}} = this;
		return executions === 0 || (isRepeatable(route) && executions < route.maxExecutions);
	}

	/**
	Whether the request may be sent once more.

	@param attemptCount - attempts that were sent
	*/
	allowsAttempt(attemptCount: number): boolean {
		const {attempts, request: {route, deadline}, timers} = this;
		const isWithinLimits = attemptCount < route.maxExecutions + extraAttempts && timers.now() < deadline;
		return this.allowsExecution && isWithinLimits && !attempts.isCrashEvident;
	}
}
