import {type Span} from '@opentelemetry/api';
import {type AttemptHandle} from '../backends/attempt-handle.js';
import {type AttemptSink} from '../backends/attempt-sink.js';
import {type Attempt} from '../backends/attempt.js';
import {type ModelEngine} from '../backends/model-engine.js';
import {type Fleet} from '../routing/fleet.js';

/** Where an attempt runs and where its load is counted. */
export type RunningAttemptDependencies = {
	readonly engine: ModelEngine;
	readonly fleet: Fleet;
};

/** An attempt that was started and not yet ended: its open connection, its spans and its load on the servers. */
export class RunningAttempt {
	private handle: AttemptHandle;

	/**
	Starts the attempt.

	@param spans - spans that end with the attempt
	*/
	constructor(private readonly attempt: Attempt, private readonly spans: readonly Span[], private readonly dependencies: RunningAttemptDependencies, sink: AttemptSink) {
		dependencies.fleet.recordStart(attempt.route);
		this.handle = dependencies.engine.run(attempt, sink);
	}

	/**
	Replaces the connection.

	@param from - index of the first token to be sent over the new one
	*/
	attach(from: number, sink: AttemptSink): void {
		this.handle.close();
		this.handle = this.dependencies.engine.attach(this.attempt, from, sink);
	}

	/** Cancels the attempt: its servers stop working on it. */
	cancel(): void {
		void this.dependencies.engine.cancel(this.attempt);
		this.end();
	}

	/** Ends the attempt, which must not be used afterwards. */
	end(): void {
		this.handle.close();
		this.dependencies.fleet.recordEnd(this.attempt.route);
		for (const span of this.spans) {
			span.end();
		}
	}
}
