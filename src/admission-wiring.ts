import {FullRejections} from './admission/full-rejections.js';
import {PriorityReserves} from './admission/priority-reserves.js';
import {ReturnTimes} from './admission/return-times.js';
import {type StreamAdmission} from './admission/stream-admission.js';
import {ZoneCapacity} from './admission/zone-capacity.js';
import {ZoneWaiting, type WaitingWork} from './admission/zone-waiting.js';
import {type ActiveCatalog} from './catalog/active-catalog.js';
import {type Control} from './control-wiring.js';
import {type Metrics} from './observation/metrics.js';
import {getIdDigest} from './peers/id-digest.js';
import {WaitingExchange} from './peers/waiting-exchange.js';
import {type ServerDirectory} from './pipelines/server-directory.js';
import {type RandomSource} from './routing/random-source.js';
import {type RouterSettings} from './settings/router-settings.js';
import {type TimerService} from './time/timer-service.js';

/** What the admission of streams is built from. */
export type AdmissionDependencies = Pick<Control, 'instanceRegistry'> & {
	readonly zone: ZoneWaiting;
	readonly activeCatalog: ActiveCatalog;
	readonly directory: ServerDirectory;
	readonly random: RandomSource;
	readonly timers: TimerService;
	readonly metrics: Metrics;
};

/** What waits at the other instances of the zone, and the part that exchanges it with them. */
export type Waiting = {readonly zone: ZoneWaiting; readonly exchange: WaitingExchange};

/** Creates the parts that know what waits at the other instances of the zone, and tell them what waits here. */
export function wireWaiting({instance, admission}: Pick<RouterSettings, 'instance' | 'admission'>, describeOwn: () => readonly WaitingWork[]): Waiting {
	const zone = new ZoneWaiting(admission.report_age, getIdDigest);
	return {zone, exchange: new WaitingExchange({id: instance.id, availabilityZone: instance.availability_zone}, zone, describeOwn)};
}

/** Creates the parts that decide when streams start with regard to other requests. */
export function wireAdmission({instance, limits, admission}: Pick<RouterSettings, 'instance' | 'limits' | 'admission'>, dependencies: AdmissionDependencies): StreamAdmission {
	const {instanceRegistry, zone, activeCatalog, directory, random, timers, metrics} = dependencies;
	const capacity = new ZoneCapacity(
		service => directory.usable(service).filter(({availabilityZone}) => availabilityZone === instance.availability_zone),
		service => activeCatalog.current?.catalog.services.get(service)?.engine,
	);
	const reserves = new PriorityReserves({
		countInstances: () => instanceRegistry.findNeighbours().length + 1,
		countRequests: (service, now) => capacity.countRequests(service, now),
	}, admission.largest_reserve, (service, priority) => {
		metrics.gauge('siskinnotch_occupancy_limit', () => reserves.getOccupancyLimit(service, priority, timers.now()), {service, priority: String(priority)});
	});
	metrics.gauge('siskinnotch_instances_with_waiting', () => zone.findCurrent(timers.now()).filter(({work}) => work.length > 0).length);
	return {
		reserves, zone, rejections: new FullRejections(), returnTimes: new ReturnTimes(limits.come_back, random),
	};
}
