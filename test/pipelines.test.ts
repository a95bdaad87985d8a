import test from 'ava';
import fc from 'fast-check';
import {sampleModel} from '../harness/sample-model.js';
import {type BackendServer} from '../src/pipelines/backend-server.js';
import {InterzoneBandwidthBudget} from '../src/pipelines/interzone-bandwidth-budget.js';
import {PipelineSelector} from '../src/pipelines/pipeline-selector.js';
import {findPipeline} from '../src/pipelines/pipeline-finder.js';
import {PlainServerSelector} from '../src/pipelines/plain-server-selector.js';
import {coversAllLayers} from '../src/pipelines/pipeline.js';
import {ServerHealthTracker} from '../src/pipelines/server-health-tracker.js';
import {ServerDirectory} from '../src/pipelines/server-directory.js';
import {ServerLoad} from '../src/pipelines/server-load.js';
import {ServerSlowdowns} from '../src/pipelines/server-slowdowns.js';
import {RandomSource} from '../src/routing/random-source.js';
import {ManualTimerService} from '../src/time/manual-timer-service.js';
import {RecordingLog, sampleServer} from './support/sample-fleet.js';
import {seed} from './support/seed.js';

const beliefTimes = {
	suspicion: 2000, longestSuspicion: 8000, fullness: 150, trialPause: 700,
};

function createChooser(servers: readonly BackendServer[]) {
	const timers = new ManualTimerService();
	const directory = new ServerDirectory(timers, new RecordingLog());
	directory.applyReading({servers, requestedAt: 0, mayBeIncomplete: false});
	const beliefs = new ServerHealthTracker(beliefTimes, new RecordingLog());
	const load = new ServerLoad();
	const paces = new ServerSlowdowns(3000);
	const chooser = new PipelineSelector({
		directory,
		serverHealth: beliefs,
		load,
		slowdowns: paces,
		availabilityZone: 'zone-a',
		interzoneBandwidth: new InterzoneBandwidthBudget(0.5, 1000, () => 1),
		getPeerTokens: () => 0,
	}, {
		remoteZone: 0.4, crossing: 5, fullest: 1.1, crowding: 3, loadAge: 1500,
	});
	const choose = (now = 0, tokens = 1000) => chooser.select({
		service: 'model', model: sampleModel, tokens, excluded: new Set(),
	}, now)?.map(({server}) => server.id);
	return {
		choose, directory, beliefs, load, paces, timers,
	};
}

function chain(zone: string, name: string): readonly BackendServer[] {
	return [
		sampleServer(`${name}1`, 'large', {from: 0, to: 28}, {availabilityZone: zone}),
		sampleServer(`${name}2`, 'large', {from: 28, to: 56}, {availabilityZone: zone}),
		sampleServer(`${name}3`, 'large', {from: 56, to: 80}, {availabilityZone: zone}),
	];
}

test('every pipeline that is found runs each layer once and in order, on each server at most once', t => {
	const range = fc.tuple(fc.nat(79), fc.integer({min: 1, max: 60})).map(([from, length]) => ({from, to: Math.min(80, from + length)}));
	fc.assert(fc.property(fc.array(fc.tuple(range, fc.constantFrom('zone-a', 'zone-b')), {maxLength: 14}), holders => {
		const servers = holders.map(([held, zone], index) => sampleServer(`s${index}`, 'large', held, {availabilityZone: zone}));
		const pipeline = findPipeline(servers, 80, {computeStageCost: (_server, part) => part.to - part.from, crossingCost: 7})?.pipeline;
		const isCovered = Array.from({length: 80}, (_, layer) => layer).every(layer => servers.some(server => server.range!.from <= layer && layer < server.range!.to));
		t.true(isCovered || pipeline === undefined);
		const stages = pipeline ?? [];
		t.true(pipeline === undefined || coversAllLayers(pipeline, 80));
		t.is(new Set(stages.map(({server}) => server)).size, stages.length);
		t.true(stages.every(({server, range: part}) => server.range!.from <= part.from && part.to <= server.range!.to));
	}), {seed: seed()});
});

test('a pipeline stays in its own availability zone, then in another one, and crosses zones last', t => {
	const {choose, directory, timers} = createChooser([...chain('zone-a', 'a'), ...chain('zone-b', 'b')]);
	t.deepEqual(choose(), ['a1', 'a2', 'a3']);
	const withoutA2 = [...chain('zone-a', 'a'), ...chain('zone-b', 'b')].filter(({id}) => id !== 'a2');
	directory.applyReading({servers: withoutA2, requestedAt: 1, mayBeIncomplete: false});
	t.deepEqual(choose(), ['b1', 'b2', 'b3']);
	directory.applyReading({servers: withoutA2.filter(({id}) => id !== 'b3'), requestedAt: 2, mayBeIncomplete: false});
	t.deepEqual(choose(timers.now() + 1000, 100), ['b1', 'b2', 'a3']);
});

test('a burst does not fill the pipe between zones beyond its part', t => {
	const {choose} = createChooser([...chain('zone-a', 'a').slice(0, 1), ...chain('zone-b', 'b').slice(1)]);
	// Half of 18,000 Mbit/s carries 17 crossings of 1,000 tokens a second.
	const started = Array.from({length: 60}, (_, index) => choose(index * 50)).filter(Boolean).length;
	t.true(started >= 40 && started <= 70, `${started} of 60 within 3 s`);
});

test('requests that hold memory crowd a pipeline and then close it', t => {
	const {choose, load, directory} = createChooser([...chain('zone-a', 'a'), ...chain('zone-b', 'b')]);
	const pipeline = directory.all().filter(({availabilityZone}) => availabilityZone === 'zone-a').map(server => ({server, range: server.range!}));
	const ends = Array.from({length: 50}, () => load.start(pipeline, 1000));
	t.deepEqual(choose(), ['b1', 'b2', 'b3']);
	for (const end of ends) {
		end();
	}

	t.deepEqual(choose(), ['a1', 'a2', 'a3']);
});

test('a slow server is avoided while it says that it is slow', t => {
	const {choose, paces, directory} = createChooser([...chain('zone-a', 'a'), ...chain('zone-b', 'b')]);
	paces.record(directory.all().find(({id}) => id === 'a2')!, 12, 0);
	t.deepEqual(choose(0), ['b1', 'b2', 'b3']);
	t.deepEqual(choose(5000), ['a1', 'a2', 'a3']);
});

test('a crashed server gets no work, then single requests that try it, until one succeeds', t => {
	const server = sampleServer('a1', 'large', {from: 0, to: 80});
	const beliefs = new ServerHealthTracker(beliefTimes, new RecordingLog());
	t.true(beliefs.suspect(server, 'no connection', 0));
	t.false(beliefs.suspect(server, 'no connection', 10), 'one suspicion at a time');
	t.false(beliefs.isUsable(server, 1999));
	t.true(beliefs.isUsable(server, 2000));
	beliefs.recordDispatch(server, 2000);
	t.false(beliefs.isUsable(server, 2500), 'one trial at a time');
	t.false(beliefs.isHealthy(server));
	beliefs.suspect(server, 'no connection', 2600);
	t.false(beliefs.isUsable(server, 6500), 'the second suspicion lasts twice as long');
	beliefs.clearSuspicion(server, 6700);
	t.true(beliefs.isUsable(server, 6700) && beliefs.isHealthy(server));
});

test('a server whose entry lapsed in an outage of the list is kept until the list is whole again', t => {
	const timers = new ManualTimerService();
	const directory = new ServerDirectory(timers, new RecordingLog());
	const [first, second] = [sampleServer('a', 'large'), sampleServer('b', 'large')];
	directory.applyReading({servers: [first, second], requestedAt: 1, mayBeIncomplete: false});
	directory.applyReading({servers: [first], requestedAt: 2, mayBeIncomplete: true});
	t.is(directory.usable('model').length, 2);
	directory.applyReading({servers: [first], requestedAt: 3, mayBeIncomplete: false});
	t.deepEqual(directory.usable('model').map(({id}) => id), ['a']);
});

test('a leaving server stays leaving for its life, and an old entry does not bring an earlier life back', t => {
	const directory = new ServerDirectory(new ManualTimerService(), new RecordingLog());
	const server = sampleServer('a', 'large');
	directory.applyReading({servers: [{...server, isLeaving: true}], requestedAt: 1, mayBeIncomplete: false});
	directory.applyReading({servers: [server], requestedAt: 2, mayBeIncomplete: false});
	t.is(directory.usable('model').length, 0);
	directory.applyReading({servers: [{...server, startedAt: 5}], requestedAt: 3, mayBeIncomplete: false});
	t.is(directory.usable('model').length, 1);
	directory.applyReading({servers: [{...server, startedAt: 4, isLeaving: true}], requestedAt: 4, mayBeIncomplete: false});
	t.is(directory.usable('model').length, 1);
});

test('a range that was ordered holds before the list shows it, and not for ever', t => {
	const timers = new ManualTimerService();
	const directory = new ServerDirectory(timers, new RecordingLog());
	const server = sampleServer('a', 'large', {from: 0, to: 10});
	directory.applyReading({servers: [server], requestedAt: 0, mayBeIncomplete: false});
	directory.overrideRange('a@1', {from: 0, to: 20});
	directory.applyReading({servers: [server], requestedAt: 1, mayBeIncomplete: false});
	t.deepEqual(directory.all()[0].range, {from: 0, to: 20});
	timers.advance(5000);
	directory.applyReading({servers: [server], requestedAt: 2, mayBeIncomplete: false});
	t.deepEqual(directory.all()[0].range, {from: 0, to: 10});
});

test('a burst on few servers of a plain service opens no more connections than they accept', t => {
	const timers = new ManualTimerService();
	const log = new RecordingLog();
	const directory = new ServerDirectory(timers, log);
	const servers = ['a', 'b'].map(id => sampleServer(id, '', undefined, {service: 'records'}));
	directory.applyReading({servers, requestedAt: 0, mayBeIncomplete: false});
	const load = new ServerLoad();
	const chooser = new PlainServerSelector(directory, new ServerHealthTracker(beliefTimes, log), load, new RandomSource(seed()));
	const chosen: string[] = [];
	for (let request = 0; request < 10; request++) {
		const server = chooser.select({service: 'records', excluded: new Set(), maxRequests: 3}, 0);
		if (server) {
			load.start([{server, range: {from: 0, to: 0}}], 0);
			chosen.push(server.id);
		}
	}

	t.deepEqual(chosen.toSorted(), ['a', 'a', 'a', 'b', 'b', 'b']);
});
