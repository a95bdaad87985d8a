import {type StreamAdmission} from '../../admission/stream-admission.js';
import {type AnswerRecorder} from '../../estimates/answer-recorder.js';
import {type BackendServer} from '../../pipelines/backend-server.js';
import {type PipelineSelector} from '../../pipelines/pipeline-selector.js';
import {type FullStageRejection} from '../../scheduling/full-stage-rejection.js';
import {type RequestQueue} from '../request-queue.js';

/** Limits of stream exchanges. */
export type StreamLimits = {
	/** Attempts of a request that may be rejected before the request fails, or before no further one takes over from a silent attempt. */
	readonly maxRejections: number;
	/** Milliseconds from which a rejection indicates a stage that is down; an earlier one indicates a stage without capacity. */
	readonly lateRejectionThreshold: number;
	/** Fraction of the latency target within which a request must be sent for its answer to be on time. */
	readonly onTimeFraction: number;
	/** Milliseconds from its arrival for which a request that has not been executed waits for a pipeline at most, whatever its route. */
	readonly maxQueueTime: number;
	/** Fraction of the caller's idle timeout for which an interrupted stream waits for another pipeline. */
	readonly resumeWaitFraction: number;
	/** Milliseconds after which a refused caller may retry. */
	readonly retryAfter: number;
};

/** Dependencies of stream exchanges, in addition to those of all exchanges. */
export type StreamExchangeDependencies = {
	readonly selector: PipelineSelector;
	readonly requestQueue: RequestQueue;
	readonly answers: AnswerRecorder;
	readonly limits: StreamLimits;
	/** Undefined if streams are admitted without regard to other priorities and to rejections of other streams. */
	readonly admission?: StreamAdmission;
	/** Called when a server rejects a request because it is full, with the number of its consecutive rejections. */
	readonly onRejection: (server: BackendServer, rejections: number, rejection: FullStageRejection) => void;
	/** Called when a server becomes suspected to be down, to notify the other instances. */
	readonly onSuspicion: (server: BackendServer, isBlocking: boolean, reason: string) => void;
};
