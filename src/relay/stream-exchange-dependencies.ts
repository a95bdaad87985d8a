import {type BackendServer} from '../pipelines/backend-server.js';
import {type PipelineSelector} from '../pipelines/pipeline-selector.js';
import {type RequestQueue} from './request-queue.js';

/** Limits of stream exchanges. */
export type StreamLimits = {
	/** Attempts that did not run before a request is given up. */
	readonly maxRejections: number;
	/** Milliseconds after which a rejection speaks of a stage that is down, not of one that is full. */
	readonly lateRejectionThreshold: number;
	/** Part of the latency target within which a request must be sent to be answered on time. */
	readonly onTimeFraction: number;
	/** Milliseconds from its arrival for which a request that has not run waits for a pipeline. */
	readonly maxQueueTime: number;
	/** Part of its caller's patience for which a stream that broke off waits for another pipeline. */
	readonly resumeWaitFraction: number;
	/** Milliseconds after which a refused caller may come back. */
	readonly retryAfter: number;
};

/** The parts of stream exchanges beside those of all exchanges. */
export type StreamExchangeDependencies = {
	readonly selector: PipelineSelector;
	readonly requestQueue: RequestQueue;
	readonly limits: StreamLimits;
	/** Called when a server rejected a request, with how many it rejected one after the other. */
	readonly onRejection: (server: BackendServer, rejections: number) => void;
	/** Called when a server seems to be down, so that others hear of it. */
	readonly onSuspicion: (server: BackendServer, isBlocking: boolean, reason: string) => void;
};
