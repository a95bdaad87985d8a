import {type Failure} from '../results/failure.js';
import {type Ticket} from './ticket.js';

/** Tickets that were decided on. */
export type AdmissionOutcome = {
	readonly admitted: readonly Ticket[];
	readonly refused: ReadonlyArray<{readonly ticket: Ticket; readonly failure: Failure}>;
};
