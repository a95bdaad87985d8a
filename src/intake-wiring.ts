import {RequestBudget} from './network/request-budget.js';
import {CallerIntake, type CallerIntakeDependencies} from './network/caller-intake.js';
import {findDescriptorLimit, findMemoryLimit} from './network/process-limits.js';

/** Settings of the reception of bodies; 0 to derive a value from the limits of the process. */
export type BodyLimits = {
	/** Bytes for all bodies. */
	readonly body_memory: number;
	/** Descriptors that the process may open. */
	readonly open_files: number;
};

/** Fraction of the memory limit for bodies: 26 MB where the heap may have 200 MB. Small, because many callers at once occupy more memory than their bodies. */
const memoryFraction = 0.1;
/** Two bodies of the largest size that a configuration usually allows, each with its copy. */
const minMemory = 16_777_216;
/** Descriptors for files and listeners; a quarter where a process may open few. */
const reservedDescriptors = 200;
const maxReservedFraction = 0.25;
/** Fraction of the other descriptors for callers; each may need a connection to a server. */
const callerFraction = 0.5;

/** Creates the reception of all bodies of a process. */
export function wireIntake(limits: BodyLimits, dependencies: Omit<CallerIntakeDependencies, 'budget' | 'maxConnections'>): CallerIntake {
	const descriptors = limits.open_files > 0 ? limits.open_files : findDescriptorLimit();
	const budget = new RequestBudget(limits.body_memory > 0 ? limits.body_memory : Math.max(minMemory, findMemoryLimit() * memoryFraction));
	const maxConnections = Math.floor((descriptors - Math.min(reservedDescriptors, descriptors * maxReservedFraction)) * callerFraction);
	dependencies.metrics.gauge('siskinnotch_body_memory_used', () => budget.usedBytes);
	dependencies.metrics.gauge('siskinnotch_body_memory', () => budget.capacity);
	dependencies.metrics.gauge('siskinnotch_bodies_receiving', () => budget.receivingBodies);
	return new CallerIntake({...dependencies, budget, maxConnections});
}
