import {RetryUrgency} from '../../admission/retry-urgency.js';
import {type BackendServer} from '../../pipelines/backend-server.js';
import {type Pipeline} from '../../pipelines/pipeline.js';
import {type CallerReply} from '../caller-reply.js';
import {type ExchangeDependencies} from '../exchange-dependencies.js';
import {type RelayRequest} from '../relay-request.js';
import {type HedgeCause, type StreamAttempts} from './stream-attempts.js';
import {computeStreamDeadlines} from './stream-deadlines.js';
import {type StreamExchangeDependencies} from './stream-exchange-dependencies.js';
import {type StreamPipelineSelector} from './stream-pipeline-selector.js';
import {type StreamProgress} from './stream-progress.js';

/** What a hedger needs to know of its stream. */
export type HedgedStream = {
	readonly request: RelayRequest;
	readonly reply: CallerReply;
	readonly progress: StreamProgress;
	readonly attempts: StreamAttempts;
	readonly selector: StreamPipelineSelector;
};

/** Carries out what a hedger decides. */
export type HedgeHandler = {
	/** Whether another attempt may be sent beside those in progress. */
	mayHedge(): boolean;
	/** Takes a retry from the budget; returns false if the budget is exhausted for this urgency. */
	tryAcquireRetry(urgency: RetryUrgency): boolean;
	send(pipeline: Pipeline): void;
	/** Ends the stream because no pipeline has capacity, or because the retry budget is exhausted. */
	failForCapacity(reason: string): void;
};

/** Sends a silent stream along another pipeline as well. */
export class StreamHedger {
	constructor(
		private readonly dependencies: Pick<ExchangeDependencies, 'timers'> & Pick<StreamExchangeDependencies, 'requestQueue' | 'limits'>,
		private readonly stream: HedgedStream,
		private readonly handler: HedgeHandler,
	) {}

	/** Sends the stream along a pipeline without the faulty stage as well, or without the first stage if the faulty one is not known. */
	hedge(faulty: BackendServer | undefined, reason: string): void {
		const {attempts: {newest}, selector} = this.stream;
		if (!newest || !this.handler.mayHedge()) {
			return;
		}

		selector.avoid(faulty ?? newest.firstServer);
		this.send(now => selector.selectAlternative(now, faulty), {reason, faulty});
	}

	/** Sends the stream over another connection as well. */
	reconnect(reason: string): void {
		const {attempts, selector} = this.stream;
		if (attempts.newest && this.handler.mayHedge()) {
			this.send(now => selector.select(now), {reason});
		}
	}

	/** Sends the stream along another pipeline too, if one has capacity and the retry budget allows it. */
	private send(select: (now: number) => Pipeline | undefined, cause: HedgeCause): void {
		const {dependencies: {timers, requestQueue}, stream: {attempts}, handler} = this;
		const now = timers.now();
		const pipeline = attempts.mayHedge(now) ? attempts.selectHedge(cause, () => select(now)) : undefined;
		if (!pipeline) {
			this.refuseIfAbandoned(now, 'no event arrived, and no other pipeline had capacity in time');
			return;
		}

		if (!handler.tryAcquireRetry(RetryUrgency.Ordinary)) {
			this.refuseIfAbandoned(now, 'no event arrived, and the retry budget was exhausted');
			return;
		}

		const hasCancelled = attempts.cancelEnded(cause);
		attempts.recordSilence(cause);
		handler.send(pipeline);
		if (hasCancelled) {
			// Not earlier, since a queued request could take the capacity of the alternative.
			requestQueue.dispatchReady();
		}
	}

	/** Refuses the stream shortly before its caller abandons it. Once the reply has begun there is nothing left to refuse, so the attempt goes on. */
	private refuseIfAbandoned(now: number, reason: string): void {
		const {request, progress, reply} = this.stream;
		const {queueDeadline} = computeStreamDeadlines(request, progress, true, this.dependencies.limits);
		if (!reply.isStarted && now >= queueDeadline) {
			this.handler.failForCapacity(reason);
		}
	}
}
