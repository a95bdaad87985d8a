import {Execution} from '../results/execution.js';
import {Failure} from '../results/failure.js';
import {ResultCode} from '../results/result-code.js';
import {type TimerService} from '../time/timer-service.js';
import {computeDeadline} from './request-deadline.js';

/** When a request arrived, and how long it may take. */
export type RequestTimes = {
	/** Monotonic time in milliseconds. */
	readonly arrivedAt: number;
	/** Milliseconds for which the caller waits for the reply; undefined if it did not say. */
	readonly patience?: number;
	/** Returns the timeout of the request's route in milliseconds; undefined if no route matches now. */
	readonly findRouteTimeout: () => number | undefined;
};

/** The deadline of a request until it is accepted. Ends the reception of a request that reaches it. */
export class ReceptionDeadline {
	private hasPassed = false;
	private routeTimeout = Number.POSITIVE_INFINITY;

	constructor(private readonly timers: TimerService, private readonly times: RequestTimes) {}

	/** Whether the reception was ended, so that the rest of the request is of no use. */
	get isOver(): boolean {
		return this.hasPassed;
	}

	/**
	Checks that a request may still be sent to a server.

	@param routeTimeout - milliseconds
	@returns the deadline, a monotonic time in milliseconds
	@throws Failure DeadlineUnreachable if the deadline has passed
	*/
	check(routeTimeout: number): number {
		const {arrivedAt, patience} = this.times;
		const deadline = computeDeadline(arrivedAt, routeTimeout, patience);
		if (this.timers.now() >= deadline) {
			this.hasPassed = true;
			throw new Failure(ResultCode.DeadlineUnreachable, `the request was not received and authorized within ${Math.round(deadline - arrivedAt)} ms`, Execution.NotRun);
		}

		return deadline;
	}

	/**
	Receives a part of the request until its deadline, which a newer configuration may move.

	@throws Failure DeadlineUnreachable if the deadline passes before
	*/
	async limit<Value>(receive: () => Promise<Value>): Promise<Value> {
		let deadline = this.checkCurrent();
		const receiving = receive();
		const expiry = new Error('the deadline may have passed');
		for (;;) {
			try {
				return await this.timers.withTimeout(receiving, deadline - this.timers.now(), () => expiry); // eslint-disable-line no-await-in-loop
			} catch (error) {
				if (error !== expiry) {
					throw error;
				}
			}

			deadline = this.checkCurrent();
		}
	}

	/** Checks the deadline by the configuration in force. If that has no route for the request any more, the latest timeout applies until the request is authorized. */
	private checkCurrent(): number {
		this.routeTimeout = this.times.findRouteTimeout() ?? this.routeTimeout;
		return this.check(this.routeTimeout);
	}
}
