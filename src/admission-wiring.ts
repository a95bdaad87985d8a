import {FullRejections} from './admission/full-rejections.js';
import {PriorityReserves} from './admission/priority-reserves.js';
import {ReturnTimes} from './admission/return-times.js';
import {type StreamAdmission} from './admission/stream-admission.js';
import {ZoneCapacity} from './admission/zone-capacity.js';
import {type ActiveCatalog} from './catalog/active-catalog.js';
import {type Control} from './control-wiring.js';
import {type Metrics} from './observation/metrics.js';
import {type ServerDirectory} from './pipelines/server-directory.js';
import {type RandomSource} from './routing/random-source.js';
import {type RouterSettings} from './settings/router-settings.js';
import {type TimerService} from './time/timer-service.js';

/** What the admission of streams is built from. */
export type AdmissionDependencies = Pick<Control, 'instanceRegistry'> & {
	readonly activeCatalog: ActiveCatalog;
	readonly directory: ServerDirectory;
	readonly random: RandomSource;
	readonly timers: TimerService;
	readonly metrics: Metrics;
};

/** Creates the parts that decide when streams start with regard to other requests. */
export function wireAdmission({instance, limits}: Pick<RouterSettings, 'instance' | 'limits'>, dependencies: AdmissionDependencies): StreamAdmission {
	const {instanceRegistry, activeCatalog, directory, random, timers, metrics} = dependencies;
	const capacity = new ZoneCapacity(
		service => directory.usable(service).filter(({availabilityZone}) => availabilityZone === instance.availability_zone),
		service => activeCatalog.current?.catalog.services.get(service)?.engine,
	);
	const reserves = new PriorityReserves({
		countInstances: () => instanceRegistry.findNeighbours().length + 1,
		countRequests: (service, now) => capacity.countRequests(service, now),
	}, (service, priority) => {
		metrics.gauge('siskinnotch_occupancy_limit', () => reserves.getOccupancyLimit(service, priority, timers.now()), {service, priority: String(priority)});
	});
	return {reserves, rejections: new FullRejections(), returnTimes: new ReturnTimes(limits.come_back, random)};
}
