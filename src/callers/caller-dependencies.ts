import {type Logger} from 'winston';
import {type ActionExecutor} from '../actions/action-executor.js';
import {type CompletionService} from '../completions/completion-service.js';
import {type Lifecycle} from '../lifecycle.js';
import {type CallerIntake} from '../network/caller-intake.js';
import {type Invariants} from '../observation/invariants.js';
import {type Metrics} from '../observation/metrics.js';
import {type Tracing} from '../observation/tracing.js';
import {type PlainDispatcher} from '../plain/plain-dispatcher.js';
import {type TimerService} from '../time/timer-service.js';
import {type CallerAuthenticator} from './caller-authenticator.js';

/** Limits of the caller interface. */
export type CallerLimits = {
	/** Largest request body, in bytes. */
	readonly maxBodyBytes: number;
	/** Time in milliseconds in which the headers of a request must arrive. */
	readonly headersTimeoutMs: number;
	/** Longest time that a request may take, in milliseconds; also used when the caller sets no deadline. */
	readonly maxDeadlineMs: number;
};

/** What the caller interface and its handlers depend on. */
export type CallerDependencies = {
	readonly authenticator: CallerAuthenticator;
	readonly intake: CallerIntake;
	readonly completions: CompletionService;
	readonly plainDispatcher: PlainDispatcher;
	readonly actionExecutor: ActionExecutor;
	readonly timers: TimerService;
	readonly tracing: Tracing;
	readonly metrics: Metrics;
	readonly invariants: Invariants;
	readonly lifecycle: Lifecycle;
	readonly log: Logger;
};
