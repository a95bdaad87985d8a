import {type ServerLimits} from './server-limits.js';
import {type ServerPauses} from './server-pauses.js';

/** What backend servers themselves ask of the instances that send them requests, apart from the suspicions that an instance forms. */
export type Backpressure = {
	readonly pauses: ServerPauses;
	readonly limits: ServerLimits;
};
