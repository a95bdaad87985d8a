import {Execution} from '../../results/execution.js';
import {Failure} from '../../results/failure.js';
import {ResultCode} from '../../results/result-code.js';
import {type ExecutionHistory} from '../execution-history.js';
import {type RelayRequest} from '../relay-request.js';

const millisecondsPerSecond = 1000;

/** Creates the failures with which a stream ends. They say whether its request may have been executed. */
export class StreamFailures {
	/**
	@param computeRetryAfter - returns the milliseconds after which a refused caller may retry
	*/
	constructor(private readonly request: RelayRequest, private readonly executions: ExecutionHistory, private readonly computeRetryAfter: () => number) {}

	/** For a stream that finds no pipeline with capacity. */
	createCapacityFailure(reason: string): Failure {
		return this.executions.mayHaveExecuted
			? this.createInterruption(reason)
			: new Failure(ResultCode.NoPipeline, reason, Execution.NotRun, this.computeRetryAfter() / millisecondsPerSecond);
	}

	/** For a stream whose deadline has passed. */
	createDeadlineFailure(): Failure {
		const limit = Math.round(this.request.deadline - this.request.arrivedAt);
		return this.executions.mayHaveExecuted
			? new Failure(ResultCode.DeadlinePassed, `the stream was not complete within ${limit} ms`, Execution.Unknown)
			: this.createCapacityFailure('the deadline passed before the request was sent');
	}

	/** For a stream that was interrupted and may not be resumed. */
	createInterruption(reason: string): Failure {
		return new Failure(ResultCode.StreamInterrupted, reason, Execution.Unknown);
	}

	/** For a stream whose request was quarantined. */
	createQuarantineFailure(refusal: Failure): Failure {
		return this.executions.mayHaveExecuted
			? new Failure(ResultCode.StreamInterrupted, refusal.message, Execution.Unknown, refusal.retryAfterSeconds)
			: refusal;
	}
}
