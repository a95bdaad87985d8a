/** What a process has for its callers. */
export type ProcessResources = {
	/** Bytes of memory that the process may occupy. */
	readonly memory: number;
	/** Bytes of memory that it occupies without callers. */
	readonly baseMemory: number;
	/** Descriptors that it may open. */
	readonly descriptors: number;
};

/** How much callers may make a process hold. */
export type MemoryPlan = {
	/** Bytes of all requests: heads, bodies, and input that is not parsed. */
	readonly requestBytes: number;
	/** Connections that may be open at a time. */
	readonly connections: number;
	/** Bytes that may wait for a later turn of the event loop. */
	readonly heldBytes: number;
	/** Bytes of all replies that may wait for their callers to read. */
	readonly unsentBytes: number;
};

/** Fractions of the memory that is not occupied without callers. The rest is for garbage between two collections. */
const requestFraction = 0.15;
const connectionFraction = 0.3;
const heldFraction = 0.02;
const unsentFraction = 0.15;
const minSpareBytes = 16_777_216;
/** A body of the largest size that a configuration usually allows, with its copy. */
const minRequestBytes = 9_437_184;
/** Enough for reads of several connections. */
const minHeldBytes = 1_048_576;
const maxHeldBytes = 4_194_304;
/** Memory of a connection beside its requests. */
const connectionBytes = 16_384;
const minConnections = 32;
/** Descriptors for files and listeners; a quarter where a process may open few. */
const reservedDescriptors = 200;
const maxReservedFraction = 0.25;
/** Fraction of the other descriptors for callers; each may need a connection to a server. */
const callerFraction = 0.5;

function clamp(value: number, minimum: number, maximum: number): number {
	return Math.min(maximum, Math.max(minimum, value));
}

/** Divides the resources of a process. */
export function planMemory({memory, baseMemory, descriptors}: ProcessResources): MemoryPlan {
	const spare = Math.max(minSpareBytes, memory - baseMemory);
	const callerDescriptors = (descriptors - Math.min(reservedDescriptors, descriptors * maxReservedFraction)) * callerFraction;
	return {
		requestBytes: Math.max(minRequestBytes, spare * requestFraction),
		connections: Math.floor(Math.min(callerDescriptors, Math.max(minConnections, spare * connectionFraction / connectionBytes))),
		heldBytes: clamp(spare * heldFraction, minHeldBytes, maxHeldBytes),
		unsentBytes: spare * unsentFraction,
	};
}
