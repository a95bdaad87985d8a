import test from 'ava';
import {SuspicionCause} from '../src/pipelines/suspicion-cause.js';
import {ControlFleet, type FleetInstance} from './support/control-fleet.js';

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
