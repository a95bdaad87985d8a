import {type Backpressure} from '../../src/backpressure/backpressure.js';
import {type SharingInstance} from '../../src/backpressure/limit-share.js';
import {ServerLimits} from '../../src/backpressure/server-limits.js';
import {ServerPauses} from '../../src/backpressure/server-pauses.js';
import {RecordingLog} from './sample-fleet.js';

const maxPauseMs = 60_000;

/** Creates the backpressure of an instance; of the only one unless others are given. */
export function sampleBackpressure(self = 'entry-a', instances: readonly SharingInstance[] = [{id: self, availabilityZone: 'zone-a'}]): Backpressure {
	const log = new RecordingLog();
	return {
		pauses: new ServerPauses(maxPauseMs, log),
		limits: new ServerLimits({
			self, findInstances: () => instances, log, onChange: () => undefined,
		}),
	};
}
