import {type BackendServer} from '../pipelines/backend-server.js';
import {type Pipeline} from '../pipelines/pipeline.js';
import {type ServerHealthTracker} from '../pipelines/server-health-tracker.js';
import {type ResponseHead} from './response-head.js';
import {type StreamExchangeDependencies} from './stream-exchange-dependencies.js';

/** A stage with what speaks against it. */
export type StageAssessment = {
	readonly server: BackendServer;
	readonly reason: string;
};

/** Takes what the attempts of streams show about their stages into the beliefs of this instance. */
export class StageFailureDetector {
	constructor(private readonly beliefs: ServerHealthTracker, private readonly streams: StreamExchangeDependencies) {}

	/**
	There is evidence that a stage is down; the other instances hear of it.

	@param isBlocking - whether another stage says that it waits for this one
	*/
	suspect(server: BackendServer, isBlocking: boolean, reason: string, now: number): void {
		if (this.beliefs.suspect(server, reason, now, true)) {
			this.streams.onSuspicion(server, isBlocking, reason);
		}
	}

	/**
	An attempt was rejected. A late rejection speaks of a stage that is down, an early one of a stage without room.

	@param tookMs - milliseconds since the attempt was sent
	@returns the stage that the answer blames, or else the first one
	*/
	assessRejection(head: ResponseHead, pipeline: Pipeline, tookMs: number, now: number): StageAssessment {
		const named = pipeline.find(({server}) => server.address === head.faultyStageAddress)?.server;
		const server = named ?? pipeline[0].server;
		const reason = `${server.id} rejected it with ${head.status} after ${Math.round(tookMs)} ms`;
		if (tookMs >= this.streams.limits.lateRejectionThreshold) {
			this.suspect(server, named !== undefined, reason, now);
		} else {
			this.streams.onRejection(server, this.beliefs.recordRejection(server, now));
		}

		return {server, reason};
	}
}
