import {CallerIntake, type CallerIntakeDependencies} from './network/caller-intake.js';
import {InputScheduler} from './network/input-scheduler.js';
import {planMemory} from './network/memory-plan.js';
import {findDescriptorLimit, findMemoryLimit, limitYoungGeneration} from './network/process-limits.js';
import {RequestBudget} from './network/request-budget.js';
import {afterInput} from './time/deferred-call.js';

/** Settings of what callers may make a process hold; 0 to derive a value from the limits of the process. */
export type IntakeLimits = {
	/** Bytes of memory that the process may occupy. */
	readonly memory: number;
	/** Bytes for all requests. */
	readonly body_memory: number;
	/** Descriptors that the process may open. */
	readonly open_files: number;
	/** Work of parsing input in one turn of the event loop, in units of the work of one line. */
	readonly turn_work: number;
};

/** Creates the intake of a process, which occupies a number of bytes without callers. */
export function wireIntake(limits: IntakeLimits, baseMemory: number, dependencies: Pick<CallerIntakeDependencies, 'timers' | 'metrics' | 'log'>): CallerIntake {
	const memory = limits.memory > 0 ? limits.memory : findMemoryLimit();
	limitYoungGeneration(memory);
	const plan = planMemory({
		memory,
		baseMemory,
		descriptors: limits.open_files > 0 ? limits.open_files : findDescriptorLimit(),
	});
	const budget = new RequestBudget(limits.body_memory > 0 ? limits.body_memory : plan.requestBytes);
	const scheduler = new InputScheduler({turnWork: limits.turn_work, heldBytes: plan.heldBytes}, callback => {
		afterInput(callback, 1);
	});
	const {metrics} = dependencies;
	metrics.gauge('siskinnotch_body_memory_used', () => budget.usedBytes);
	metrics.gauge('siskinnotch_body_memory', () => budget.capacity);
	metrics.gauge('siskinnotch_bodies_receiving', () => budget.receivingClaims);
	metrics.gauge('siskinnotch_caller_connections_limit', () => plan.connections);
	metrics.gauge('siskinnotch_input_held', () => scheduler.heldBytes);
	metrics.gauge('siskinnotch_connections_unread', () => scheduler.stoppedSources);
	return new CallerIntake({
		...dependencies, budget, scheduler, maxConnections: plan.connections, maxUnsentBytes: plan.unsentBytes,
	});
}
