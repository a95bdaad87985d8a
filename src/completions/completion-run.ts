import {type Logger} from 'winston';
import {type AttemptSink} from '../backends/attempt-sink.js';
import {type Frame} from '../backends/frame.js';
import {type ModelEngine} from '../backends/model-engine.js';
import {type Route} from '../backends/stage.js';
import {type Metrics} from '../observation/metrics.js';
import {type Tracing} from '../observation/tracing.js';
import {type Fleet} from '../routing/fleet.js';
import {type StreamCommand, StreamCommandKind} from '../routing/stream-command.js';
import {type StreamEvent, StreamEventKind} from '../routing/stream-event.js';
import {type StreamRecovery} from '../routing/stream-recovery.js';
import {type TimerService} from '../time/timer-service.js';
import {type CompletionSink} from './completion-sink.js';
import {type CompletionRequest} from './completion-request.js';
import {RunningAttempt} from './running-attempt.js';

/** Dependencies shared by all completion runs of an instance. */
export type CompletionRunDependencies = {
	readonly engine: ModelEngine;
	readonly fleet: Fleet;
	readonly timers: TimerService;
	readonly tracing: Tracing;
	readonly metrics: Metrics;
	readonly log: Logger;
	/** Timeout in milliseconds for the inspection of a stage. */
	readonly inspectionTimeout: number;
};

/** Runs one completion: carries out the commands of its stream recovery and passes it the resulting events. */
export class CompletionRun {
	/** The attempts that were started and not yet ended, by number. */
	private readonly attempts = new Map<number, RunningAttempt>();
	private readonly generated: string[] = [];
	private lastTokenAt: number;
	private readonly startedAt: number;

	constructor(
		private readonly request: CompletionRequest,
		private readonly recovery: StreamRecovery,
		private readonly dependencies: CompletionRunDependencies,
		private readonly sink: CompletionSink,
	) {
		this.startedAt = dependencies.timers.now();
		this.lastTokenAt = this.startedAt;
	}

	/** Number of tokens delivered to the caller. */
	get delivered(): number {
		return this.recovery.delivered;
	}

	/** Whether the run has ended. */
	get isOver(): boolean {
		return this.recovery.isOver;
	}

	/** Passes an event to the stream recovery and carries out the resulting commands. */
	dispatch(event: StreamEvent): void {
		for (const command of this.recovery.handle(event, this.dependencies.timers.now())) {
			this.execute(command);
		}
	}

	private execute(command: StreamCommand): void {
		switch (command.kind) {
			case StreamCommandKind.Run: {
				this.startAttempt(command.attempt, command.connection, command.route);
				break;
			}

			case StreamCommandKind.Attach: {
				this.dependencies.metrics.count('siskinnotch_attaches_total');
				this.attempts.get(command.attempt)?.attach(command.from, this.createAttemptSink(command.connection));
				break;
			}

			case StreamCommandKind.Inspect: {
				void this.inspect(command.attempt, command.route);
				break;
			}

			case StreamCommandKind.Cancel: {
				this.cancelAttempt(command.attempt);
				break;
			}

			case StreamCommandKind.Suspect: {
				this.dependencies.fleet.markSuspect(command.server, this.dependencies.timers.now());
				break;
			}

			case StreamCommandKind.Reject: {
				this.dependencies.metrics.count('siskinnotch_frames_rejected_total');
				this.dependencies.log.warn(`A frame of request ${this.request.id} was rejected: ${command.reason}.`);
				break;
			}

			case StreamCommandKind.Deliver: {
				this.deliver(command.tokens);
				break;
			}

			case StreamCommandKind.Finish: {
				this.endAttempts();
				this.sink.onFinish(command.reason);
				break;
			}

			case StreamCommandKind.Fail: {
				this.sink.onFail(command.failure);
				break;
			}
		}
	}

	private startAttempt(number: number, connection: number, route: Route): void {
		const {tracing, metrics} = this.dependencies;
		const span = tracing.startSpan('attempt', {attempt: number, stages: route.length}, this.request.context);
		const context = tracing.getContext(span);
		const stageSpans = route.map(({server, firstLayer, endLayer, version}) => tracing.startSpan(`stage ${server}`, {firstLayer, endLayer, version}, context));
		const attempt = {
			request: this.request.id,
			number,
			route,
			prompt: this.request.prompt,
			generated: [...this.generated],
			maximumTokens: this.request.maximumTokens,
			priority: this.request.priority,
			headers: tracing.inject(context),
		};
		metrics.count('siskinnotch_attempts_total');
		this.attempts.set(number, new RunningAttempt(attempt, [...stageSpans, span], this.dependencies, this.createAttemptSink(connection)));
	}

	private createAttemptSink(connection: number): AttemptSink {
		return {
			onFrames: (frames: readonly Frame[]) => {
				this.dispatch({kind: StreamEventKind.Frames, connection, frames});
			},
			onClosed: (reason: string, unreachableServer?: string) => {
				this.dispatch({
					kind: StreamEventKind.Closed, connection, reason, unreachableServer,
				});
			},
		};
	}

	private async inspect(attempt: number, route: Route): Promise<void> {
		const {engine, inspectionTimeout, metrics} = this.dependencies;
		metrics.count('siskinnotch_inspections_total');
		const statuses = await Promise.all(route.map(async stage => engine.inspect(this.request.id, attempt, stage, inspectionTimeout)));
		this.dispatch({kind: StreamEventKind.Inspected, attempt, statuses});
	}

	private deliver(tokens: readonly string[]): void {
		if (tokens.length === 0) {
			return;
		}

		const now = this.dependencies.timers.now();
		if (this.generated.length === 0) {
			this.dependencies.metrics.record('siskinnotch_first_token_ms', now - this.startedAt);
		} else {
			this.dependencies.metrics.record('siskinnotch_token_gap_ms', (now - this.lastTokenAt) / tokens.length);
		}

		this.lastTokenAt = now;
		this.generated.push(...tokens);
		this.sink.onTokens(tokens);
	}

	/** Cancels an attempt. Its frames that still arrive are ignored. */
	private cancelAttempt(number: number): void {
		if (!this.recovery.isOver) {
			this.dependencies.metrics.count('siskinnotch_attempts_replaced_total');
		}

		this.attempts.get(number)?.cancel();
		this.attempts.delete(number);
	}

	private endAttempts(): void {
		for (const attempt of this.attempts.values()) {
			attempt.end();
		}

		this.attempts.clear();
	}
}
