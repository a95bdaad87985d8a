import {type BackendServer} from '../../pipelines/backend-server.js';
import {type EngineModel} from '../../pipelines/engine-model.js';
import {type Pipeline} from '../../pipelines/pipeline.js';
import {type ServerHealthTracker} from '../../pipelines/server-health-tracker.js';
import {SuspicionCause} from '../../pipelines/suspicion-cause.js';
import {type ResponseHead} from '../response-head.js';
import {type StreamExchangeDependencies} from './stream-exchange-dependencies.js';

/** The stage held responsible for a rejected attempt. */
export type StageAssessment = {
	readonly server: BackendServer;
	/** What was observed, for logs and error messages. */
	readonly reason: string;
};

/** Updates the health records of stages from the attempts of streams. */
export class StageFailureDetector {
	constructor(private readonly serverHealth: ServerHealthTracker, private readonly streamDependencies: StreamExchangeDependencies & {readonly model: EngineModel}) {}

	/** Marks a stage as suspected, and notifies the other instances if it was not suspected before. */
	suspect(server: BackendServer, cause: SuspicionCause, reason: string, now: number): void {
		this.suspectStage(server, {cause, reason, isBlocking: false}, now);
	}

	/**
	Assesses a rejected attempt. A late rejection indicates a stage that is down, an early one a stage without capacity.

	@param rejected.tokens - tokens that the request was expected to hold when it ends
	@param rejected.tookMs - milliseconds since the attempt was sent
	@returns the stage that the response names as faulty, or the first stage if it names none
	*/
	assessRejection(head: ResponseHead, {pipeline, tokens, tookMs}: {readonly pipeline: Pipeline; readonly tokens: number; readonly tookMs: number}, now: number): StageAssessment {
		const named = pipeline.find(({server}) => server.address === head.faultyStageAddress)?.server;
		const server = named ?? pipeline[0].server;
		const reason = `${server.id} rejected the request with status ${head.status} after ${Math.round(tookMs)} ms`;
		if (tookMs >= this.streamDependencies.limits.lateRejectionThreshold) {
			this.suspectStage(server, {cause: SuspicionCause.Unresponsive, reason, isBlocking: named !== undefined}, now);
		} else {
			this.streamDependencies.onRejection(server, this.serverHealth.recordRejection(server, now), {
				server, pipeline, tokens, now, model: this.streamDependencies.model,
			});
		}

		return {server, reason};
	}

	private suspectStage(server: BackendServer, {cause, reason, isBlocking}: {cause: SuspicionCause; reason: string; isBlocking: boolean}, now: number): void {
		const isNew = this.serverHealth.suspect(server, reason, now, cause);
		// Others may reach the server.
		if (isNew && cause !== SuspicionCause.Unverified) {
			this.streamDependencies.onSuspicion(server, isBlocking, reason);
		}
	}
}
