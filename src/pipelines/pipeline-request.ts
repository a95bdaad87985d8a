import {type EngineModel} from './engine-model.js';

/** The requirements of a request on its pipeline. */
export type PipelineRequest = {
	readonly service: string;
	readonly model: EngineModel;
	/** Tokens that the request is expected to hold when it ends. */
	readonly tokens: number;
	/** Prompt tokens, which are read before the first event; undefined if they are not known. */
	readonly promptTokens?: number;
	/** Milliseconds from now within which the first event is on time; undefined if that does not matter any more. */
	readonly latencyTarget?: number;
	/** Longest pause in milliseconds between events that is on time; undefined if there is none. */
	readonly eventGapTarget?: number;
	/** Fraction of a server's capacity up to which the request may fill it; 1 where undefined. */
	readonly occupancyLimit?: number;
	/** Incarnation ids of servers that must not be used. */
	readonly excluded: ReadonlySet<string>;
	/** Incarnation ids of the servers allowed as first stage; any server is where undefined. */
	readonly firstStageCandidates?: ReadonlySet<string>;
};
