import {type AdmissionLimits} from '../admission/admission.js';

/** Limits of the completion service. */
export type CompletionLimits = AdmissionLimits & {
	/** Milliseconds without a token after which the stages are inspected. */
	readonly stallTimeout: number;
	/** Milliseconds without a first token after which the stages are inspected. */
	readonly firstTokenTimeout: number;
	/** Milliseconds between tokens above which a stream that used to be faster is moved to other servers. */
	readonly slowTokenGap: number;
	/** Maximum number of concurrent streams of a service at this instance. */
	readonly maximumStreams: number;
};
