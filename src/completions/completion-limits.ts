import {type AdmissionLimits} from '../admission/admission.js';

/** Limits of the draft service. */
export type CompletionLimits = AdmissionLimits & {
	/** Milliseconds without a token after which the stages are inspected. */
	readonly stallTimeout: number;
	/** Milliseconds for the first token before the stages are inspected. */
	readonly firstTokenTimeout: number;
	/** Milliseconds between tokens above which a stream that was faster is moved. */
	readonly slowTokenGap: number;
	/** Most streams that run at this instance. */
	readonly maximumStreams: number;
};
