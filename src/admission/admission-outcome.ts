import {type Failure} from '../results/failure.js';
import {type AdmissionRequest} from './admission-request.js';

/** Requests decided on by one call: those that may run now, and those refused with the reason. */
export type AdmissionOutcome = {
	readonly admitted: readonly AdmissionRequest[];
	readonly refused: ReadonlyArray<{readonly request: AdmissionRequest; readonly failure: Failure}>;
};
