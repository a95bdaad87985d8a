import test from 'ava';
import {ServerDirectory} from '../src/pipelines/server-directory.js';
import {ServerSlowdowns} from '../src/pipelines/server-slowdowns.js';
import {gossipMessageSchema} from '../src/peers/gossip-message.js';
import {SlowdownExchange} from '../src/peers/slowdown-exchange.js';
import {ManualTimerService} from '../src/time/manual-timer-service.js';
import {ControlFleet} from './support/control-fleet.js';
import {RecordingLog, sampleServer} from './support/sample-fleet.js';

const range = {from: 0, to: 80};
const servers = [sampleServer('slow', 'large', range), sampleServer('usual', 'large', range), sampleServer('unknown', 'large', range)];
/** The messages of builds that do not tell how slow servers are. */
const earlierSchema = gossipMessageSchema.omit({slowdowns: true});

function createSlowdowns(): ServerSlowdowns {
	return new ServerSlowdowns(3000);
}

function createDirectory(): ServerDirectory {
	const directory = new ServerDirectory(new ManualTimerService(), new RecordingLog());
	directory.applyReading({servers, requestedAt: 0, mayBeIncomplete: false});
	return directory;
}

test('an instance learns from another how slow servers are, and does not take an older reading for a newer one', t => {
	const directory = createDirectory();
	const sender = createSlowdowns();
	sender.record(servers[0], 12, 1000);
	sender.record(servers[1], 1, 1200);
	const recipient = createSlowdowns();
	recipient.record(servers[1], 3, 1190);
	const message = new SlowdownExchange(sender, directory).getCurrent(1500);
	new SlowdownExchange(recipient, directory).receive(message, 1500);
	t.is(recipient.getFactor(servers[0], 1500), 12);
	t.is(recipient.getFactor(servers[2], 1500), 1);
	t.is(recipient.getAskedAt(servers[2]), undefined);
	const older = createSlowdowns();
	older.record(servers[0], 2, 500);
	new SlowdownExchange(recipient, directory).receive(new SlowdownExchange(older, directory).getCurrent(1500), 1500);
	t.is(recipient.getFactor(servers[0], 1500), 12);
	t.deepEqual(new SlowdownExchange(recipient, directory).getCurrent(9000), {}, 'what has expired is not passed on');
});

// Guards against an upgrade in which instances of the earlier and of this build do not read each other's messages.
test.serial('instances of an earlier build and of this one read each other\'s messages', async t => {
	const fleet = new ControlFleet(7, 3, 33);
	fleet.start();
	await fleet.elapse(6000);
	const [{control, directory, slowdowns}] = fleet.instances;
	slowdowns.record(directory.all()[0], 4, fleet.timers.now());
	const fromEarlier = earlierSchema.parse({
		from: {id: 'earlier', availabilityZone: 'zone-0', peers: '10.0.0.250:7000'}, tables: {}, updates: {}, loads: [], suspicions: [], ranges: [],
	});
	const answer = control.gossip.exchange(gossipMessageSchema.parse(fromEarlier));
	t.truthy(answer.slowdowns);
	const text = JSON.stringify(answer);
	const sent: unknown = JSON.parse(text);
	t.deepEqual(gossipMessageSchema.parse(sent), sent);
	const read = earlierSchema.parse(sent);
	t.false('slowdowns' in read);
	t.deepEqual(read.tables, answer.tables);
});
