import {type Failure} from '../results/failure.js';
import {type AdmissionRequest} from './admission-request.js';

/** Tickets that were decided on. */
export type AdmissionOutcome = {
	readonly admitted: readonly AdmissionRequest[];
	readonly refused: ReadonlyArray<{readonly request: AdmissionRequest; readonly failure: Failure}>;
};
