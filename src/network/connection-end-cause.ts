/** Why this instance ended a connection of a caller, or the caller broke it. */
export enum ConnectionEndCause {
	/** No request arrived within the idle time. */
	Idle = 'idle',
	/** It was idle when the instance stopped. */
	Stopping = 'stopping',
	/** What arrived is no request. */
	Malformed = 'malformed',
	/** A request did not arrive completely in time. */
	Timeout = 'timeout',
	/** More connections were open than the process has descriptors and memory for. */
	Excess = 'excess',
	/** What had arrived of a request needs memory that is short. */
	Memory = 'memory',
	/** Its caller reads too little of its replies while the memory for replies is short. */
	Unread = 'unread',
	/** The connection failed, such as by a reset. */
	Failed = 'failed',
}
