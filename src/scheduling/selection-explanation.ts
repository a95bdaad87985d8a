import {type LayerRange} from '../pipelines/layer-range.js';
import {type MemoryForecast} from './occupancy-forecast.js';
import {type PredictedTimes} from './predicted-times.js';

/** Why a server is no candidate for a request. */
export enum Exclusion {
	/** The request has failed there, or its route allows other servers only. */
	Request = 'excluded by the request',
	/** No layers are loaded, or the accelerator type is unknown. */
	Layers = 'no layers',
	/** The server is suspected or has rejected requests. */
	Health = 'suspected or saturated',
	/** The server asked for a pause. */
	Pause = 'paused',
	/** The request may not begin on the server. */
	FirstStage = 'limit of the first stage',
	/** The request does not fit within the part of its memory that may be used. */
	Memory = 'no free memory',
	/** This instance has taken its share of the zone's room. */
	Share = 'share of the zone is used',
}

/** A server that could run layers of a request. */
export type CandidateExplanation = {
	readonly server: string;
	readonly availabilityZone: string;
	readonly range?: LayerRange;
	/** Undefined where the capacity is not known or loads are not predicted. */
	readonly memory?: MemoryForecast;
	/** Tokens up to which the request may fill the server. */
	readonly limit?: number;
	readonly times?: PredictedTimes;
	/** Undefined for a candidate. */
	readonly exclusion?: Exclusion;
};

/** Where a request would go now, and why. */
export type SelectionExplanation = {
	/** By first layer. */
	readonly candidates: readonly CandidateExplanation[];
	/** The pipeline that would be selected; undefined if none has room. Its stages are a draw among near-equal ones. */
	readonly chosen?: ReadonlyArray<{readonly server: string; readonly range: LayerRange}>;
	readonly times?: PredictedTimes;
	/** Undefined if no pipeline is chosen. */
	readonly isOnTime?: boolean;
};
