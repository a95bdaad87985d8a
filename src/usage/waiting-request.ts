import {type Workspace} from '../configuration/sheet-row.js';
import {type Failure} from '../results/failure.js';
import {type Reservation} from './reservation.js';

/** A request that waits until a grant covers its tokens and its stream. */
export type WaitingRequest = {
	/** The workspace as the configuration described it when the request arrived. */
	readonly workspace: Workspace;
	readonly tokens: number;
	readonly resolve: (reservation: Reservation) => void;
	readonly reject: (failure: Failure) => void;
};
