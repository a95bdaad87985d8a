import test from 'ava';
import {Metrics} from '../src/observation/metrics.js';
import {type BackendServer} from '../src/pipelines/backend-server.js';
import {SuspicionCause} from '../src/pipelines/suspicion-cause.js';
import {Health, StageReporter, type StageReport} from '../src/pipelines/stage-reporter.js';
import {QueryBudget} from '../src/relay/streams/query-budget.js';
import {SlowdownPoller} from '../src/relay/streams/slowdown-poller.js';
import {RandomSource} from '../src/routing/random-source.js';
import {ControlFleet, type FleetInstance} from './support/control-fleet.js';
import {sampleBackpressure} from './support/sample-backpressure.js';
import {RecordingLog} from './support/sample-fleet.js';

const settlingMs = 12_000;
const lostServers = 3;
/** Time within which all instances notice a lost server themselves. */
const noticeMs = 300;

/** Lets an instance find that servers do not work, as each one does that has requests on them. */
function notice(fleet: ControlFleet, instance: FleetInstance, delay: number): void {
	for (const server of instance.directory.all().slice(0, lostServers)) {
		fleet.timers.after(delay, () => {
			instance.serverHealth.suspect(server, 'connection refused', fleet.timers.now(), SuspicionCause.Refusing);
			instance.control.gossip.reportSuspicion(server, false, 'connection refused');
		});
	}
}

async function countMessages(fleet: ControlFleet, noticing: readonly FleetInstance[]): Promise<number> {
	await fleet.elapse(3000);
	fleet.resetCounters();
	for (const [index, instance] of noticing.entries()) {
		notice(fleet, instance, noticeMs * index / noticing.length);
	}

	await fleet.elapse(1000);
	return fleet.instances.reduce((sum, {messagesSent}) => sum + messagesSent, 0);
}

// Guards against messages that stall all instances whenever a server is lost that all of them use.
for (const {size, zones, servers} of [{size: 64, zones: 4, servers: 90}, {size: 195, zones: 5, servers: 195}]) {
	test.serial(`${size} instances notice the loss of the same servers: that costs hardly more messages than if a few do`, async t => {
		const fleet = new ControlFleet(size, zones, servers);
		fleet.start();
		await fleet.elapse(settlingMs);
		const messagesOfFew = await countMessages(fleet, fleet.instances.slice(0, 3));
		await fleet.elapse(12_000);
		const messagesOfAll = await countMessages(fleet, fleet.instances);
		t.log(`${messagesOfFew} messages if three notice, ${messagesOfAll} if all do`);
		t.true(fleet.instances.every(({directory, serverHealth}) => directory.all().slice(0, lostServers).every(server => serverHealth.isSuspected(server, fleet.timers.now()))));
		t.true(messagesOfAll <= messagesOfFew * 1.2, `${messagesOfAll} and ${messagesOfFew} messages`);
	});
}

const slowdownFactor = 12;

/** Whether a server is in the availability zone of an instance, as those of most of its streams are. */
function isNear({address}: FleetInstance, {availabilityZone}: BackendServer): boolean {
	return availabilityZone === `zone-${address.split('.')[2]}`;
}

/** Reports for all instances how slow the backend servers are. */
class CountingReporter extends StageReporter {
	queries = 0;

	constructor(private readonly slowServer: () => BackendServer) {
		super();
	}

	async fetchReport({id}: BackendServer): Promise<StageReport> {
		this.queries++;
		return {
			slowdownFactor: id === this.slowServer().id ? slowdownFactor : 1, acceptedOrders: 0, isBusy: false, blockedRequests: new Map(),
		};
	}

	async checkHealth(): Promise<Health> {
		return Health.Good;
	}
}

// Guards against queries of all servers by all instances when many streams are silent at the same time.
for (const {size, zones, servers} of [{size: 7, zones: 3, servers: 33}, {size: 64, zones: 4, servers: 90}, {size: 195, zones: 5, servers: 195}]) {
	test.serial(`${size} instances with silent streams: each server is queried about once a second, and all of its zone learn that it is slow`, async t => {
		const fleet = new ControlFleet(size, zones, servers);
		fleet.start();
		await fleet.elapse(settlingMs);
		const [slow] = fleet.instances[0].directory.all();
		const reporter = new CountingReporter(() => slow);
		for (const [index, instance] of fleet.instances.entries()) {
			const poller = new SlowdownPoller({
				reporter,
				serverHealth: instance.serverHealth,
				backpressure: sampleBackpressure(),
				serverSlowdowns: instance.slowdowns,
				budget: new QueryBudget({perServerAndSecond: 1, burst: 1000, minBurst: 3}, () => ({servers, instances: size})),
				random: new RandomSource(index + 1),
				timers: fleet.timers,
				metrics: new Metrics(),
				log: new RecordingLog(fleet.timers),
			}, 1500);
			const stages = instance.directory.all().filter(server => isNear(instance, server)).map(server => ({server, range: {from: 0, to: 80}}));
			fleet.timers.repeat(100, () => {
				poller.pollStages(stages);
			});
		}

		const knowing = new Set<FleetInstance>();
		const isKnown = () => {
			for (const instance of fleet.instances) {
				if (instance.slowdowns.getFactor(slow, fleet.timers.now()) === slowdownFactor) {
					knowing.add(instance);
				}
			}

			return fleet.instances.every(instance => knowing.has(instance) || !isNear(instance, slow));
		};

		const elapsed = await fleet.measureUntil(isKnown, 5000);
		await fleet.elapse(6000 - elapsed);
		t.log(`known everywhere after ${elapsed} ms; ${reporter.queries} queries in 6 s`);
		t.true(elapsed <= 3000, `${elapsed} ms`);
		t.true(reporter.queries <= (servers * (6 + 1)) + (size * 3), `${reporter.queries} queries`);
	});
}

// Guards against an answer of every instance to each report of a crash that names parts which all of them know to be sound.
for (const {size, zones, servers} of [{size: 64, zones: 4, servers: 90}, {size: 195, zones: 5, servers: 195}]) {
	test.serial(`${size} instances know that suspected prompt parts are sound: few of them say so`, async t => {
		const fleet = new ControlFleet(size, zones, servers);
		fleet.start();
		await fleet.elapse(settlingMs);
		fleet.resetCounters();
		const parts = ['shared', 'topic'];
		const knowing = fleet.instances.filter((_, index) => index % 4 !== 3);
		const others = fleet.instances.filter((_, index) => index % 4 === 3);
		for (const instance of knowing) {
			instance.answerToCrashes = parts;
		}

		for (const [index, instance] of others.slice(0, lostServers).entries()) {
			const crashedAt = fleet.timers.now();
			instance.control.gossip.reportCrash({incarnationId: `s${index}@1`, crashedAt, suspects: parts.map(part => ({part, sentAt: crashedAt}))});
		}

		await fleet.elapse(1000);
		const messages = fleet.instances.reduce((sum, {messagesSent}) => sum + messagesSent, 0);
		t.log(`${messages} messages`);
		t.true(others.every(({learntCleared}) => learntCleared.length > 0), 'the others learn that the parts are sound');
		// Two rounds of four messages in a second, and a spread for the first crashes and for the first answers.
		t.true(messages <= size * ((4 * 2) + (6 * 2)), `${messages} messages`);
	});
}
