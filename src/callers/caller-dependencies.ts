import {type Logger} from 'winston';
import {type ActionExecutor} from '../actions/action-executor.js';
import {type CompletionService} from '../completions/completion-service.js';
import {type Lifecycle} from '../lifecycle.js';
import {type Invariants} from '../observation/invariants.js';
import {type Metrics} from '../observation/metrics.js';
import {type Tracing} from '../observation/tracing.js';
import {type PlainDispatcher} from '../plain/plain-dispatcher.js';
import {type TimerService} from '../time/timer-service.js';
import {type CallerAuthenticator} from './caller-authenticator.js';

/** Limits of the caller interface. */
export type CallerLimits = {
	/** Bytes. */
	readonly maxBodyBytes: number;
	/** Milliseconds for a request's headers to arrive. */
	readonly headersTimeoutMs: number;
	/** Milliseconds that a request may take. */
	readonly maxDeadlineMs: number;
};

/** What the caller interface calls. */
export type CallerDependencies = {
	readonly authenticator: CallerAuthenticator;
	readonly completions: CompletionService;
	readonly plainDispatcher: PlainDispatcher;
	readonly ledger: ActionExecutor;
	readonly timers: TimerService;
	readonly tracing: Tracing;
	readonly metrics: Metrics;
	readonly invariants: Invariants;
	readonly lifecycle: Lifecycle;
	readonly log: Logger;
};
