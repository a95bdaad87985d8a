import {type FullRejections} from './full-rejections.js';
import {type PriorityReserves} from './priority-reserves.js';
import {type ReturnTimes} from './return-times.js';
import {type ZoneWaiting} from './zone-waiting.js';

/** Decides when streams start with regard to other requests, and when refused ones come back. */
export type StreamAdmission = {
	readonly reserves: PriorityReserves;
	readonly zone: ZoneWaiting;
	readonly rejections: FullRejections;
	readonly returnTimes: ReturnTimes;
};
