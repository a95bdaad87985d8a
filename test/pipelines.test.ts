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
import {SuspicionCause} from '../src/pipelines/suspicion-cause.js';
import {ServerLoad} from '../src/pipelines/server-load.js';
import {ServerSlowdowns} from '../src/pipelines/server-slowdowns.js';
import {RandomSource} from '../src/routing/random-source.js';
import {ManualTimerService} from '../src/time/manual-timer-service.js';
import {sampleBackpressure} from './support/sample-backpressure.js';
import {RecordingLog, sampleServer} from './support/sample-fleet.js';
import {seed} from './support/seed.js';

const healthTimings = {
	suspicion: 2000, maxSuspicion: 8000, saturationBackoff: 150, trialPause: 700,
};

function createSelector(servers: readonly BackendServer[]) {
	const timers = new ManualTimerService();
	const directory = new ServerDirectory(timers, new RecordingLog());
	directory.applyReading({servers, requestedAt: 0, mayBeIncomplete: false});
	const serverHealth = new ServerHealthTracker(healthTimings, new RecordingLog());
	const load = new ServerLoad();
	const slowdowns = new ServerSlowdowns(3000);
	const backpressure = sampleBackpressure();
	const selector = new PipelineSelector({
		directory,
		serverHealth,
		backpressure,
		load,
		slowdowns,
		availabilityZone: 'zone-a',
		interzoneBandwidth: new InterzoneBandwidthBudget(0.5, 1000, () => 1),
		getPeerTokens: () => 0,
	}, {
		remoteZone: 0.4, crossing: 5, maxOccupancy: 1.1, occupancyWeight: 3, maxLoadAge: 1500,
	});
	const selectIds = (now = 0, tokens = 1000) => selector.select({
		service: 'model', model: sampleModel, tokens, excluded: new Set(),
	}, now)?.map(({server}) => server.id);
	return {
		selectIds, directory, serverHealth, backpressure, load, slowdowns, timers,
	};
}

function createChain(zone: string, name: string): readonly BackendServer[] {
	return [
		sampleServer(`${name}1`, 'large', {from: 0, to: 28}, {availabilityZone: zone}),
		sampleServer(`${name}2`, 'large', {from: 28, to: 56}, {availabilityZone: zone}),
		sampleServer(`${name}3`, 'large', {from: 56, to: 80}, {availabilityZone: zone}),
	];
}

// Guards against streams that are refused while another first stage accepts requests, and against stages that are left out in the middle of pipelines.
test('a first stage that reached its limit gets no further streams, and goes on as a later stage', t => {
	const limited = sampleServer('limited', 'large', {from: 0, to: 30});
	const middle = sampleServer('middle', 'large', {from: 30, to: 60});
	const slow = sampleServer('slow', 'small', {from: 0, to: 7});
	const last = sampleServer('last', 'large', {from: 60, to: 80});
	const {selectIds, backpressure} = createSelector([limited, slow, middle, last]);
	t.deepEqual(selectIds(), ['limited', 'middle', 'last']);
	backpressure.limits.observe(limited, {perSecond: 1, sentAt: 0}, 0);
	while (backpressure.limits.allows(limited, 0)) {
		backpressure.limits.recordRequest(limited, 0);
	}

	t.deepEqual(selectIds(), ['slow', 'limited', 'middle', 'last']);
	t.deepEqual(selectIds(1000), ['limited', 'middle', 'last']);
});

test('a found pipeline runs each layer once, in order, and uses each server at most once', t => {
	const range = fc.tuple(fc.nat(79), fc.integer({min: 1, max: 60})).map(([from, length]) => ({from, to: Math.min(80, from + length)}));
	fc.assert(fc.property(fc.array(fc.tuple(range, fc.constantFrom('zone-a', 'zone-b')), {maxLength: 14}), entries => {
		const servers = entries.map(([loaded, zone], index) => sampleServer(`s${index}`, 'large', loaded, {availabilityZone: zone}));
		const pipeline = findPipeline(servers, 80, {computeStageCost: (_server, part) => part.to - part.from, crossingCost: 7})?.pipeline;
		const isCovered = Array.from({length: 80}, (_, layer) => layer).every(layer => servers.some(server => server.range!.from <= layer && layer < server.range!.to));
		t.true(isCovered || pipeline === undefined);
		const stages = pipeline ?? [];
		t.true(pipeline === undefined || coversAllLayers(pipeline, 80));
		t.is(new Set(stages.map(({server}) => server)).size, stages.length);
		t.true(stages.every(({server, range: part}) => server.range!.from <= part.from && part.to <= server.range!.to));
	}), {seed: seed()});
});

test('a pipeline is selected from the own availability zone, else from another one, and across zones only as a last resort', t => {
	const {selectIds, directory, timers} = createSelector([...createChain('zone-a', 'a'), ...createChain('zone-b', 'b')]);
	t.deepEqual(selectIds(), ['a1', 'a2', 'a3']);
	const withoutA2 = [...createChain('zone-a', 'a'), ...createChain('zone-b', 'b')].filter(({id}) => id !== 'a2');
	directory.applyReading({servers: withoutA2, requestedAt: 1, mayBeIncomplete: false});
	t.deepEqual(selectIds(), ['b1', 'b2', 'b3']);
	directory.applyReading({servers: withoutA2.filter(({id}) => id !== 'b3'), requestedAt: 2, mayBeIncomplete: false});
	t.deepEqual(selectIds(timers.now() + 1000, 100), ['b1', 'b2', 'a3']);
});

test('a burst of requests stays within the bandwidth share between zones', t => {
	const {selectIds} = createSelector([...createChain('zone-a', 'a').slice(0, 1), ...createChain('zone-b', 'b').slice(1)]);
	// Half of 18,000 Mbit/s carries 17 crossings of 1,000 tokens per second.
	const started = Array.from({length: 60}, (_, index) => selectIds(index * 50)).filter(Boolean).length;
	t.true(started >= 40 && started <= 70, `${started} of 60 within 3 s`);
});

test('a pipeline whose memory is in use gets no new requests until they end', t => {
	const {selectIds, load, directory} = createSelector([...createChain('zone-a', 'a'), ...createChain('zone-b', 'b')]);
	const pipeline = directory.all().filter(({availabilityZone}) => availabilityZone === 'zone-a').map(server => ({server, range: server.range!}));
	const ends = Array.from({length: 50}, () => load.start(pipeline, 1000));
	t.deepEqual(selectIds(), ['b1', 'b2', 'b3']);
	for (const load of ends) {
		load.release();
	}

	t.deepEqual(selectIds(), ['a1', 'a2', 'a3']);
});

test('a server that reports a slowdown is avoided until the report expires', t => {
	const {selectIds, slowdowns, directory} = createSelector([...createChain('zone-a', 'a'), ...createChain('zone-b', 'b')]);
	slowdowns.record(directory.all().find(({id}) => id === 'a2')!, 12, 0);
	t.deepEqual(selectIds(0), ['b1', 'b2', 'b3']);
	t.deepEqual(selectIds(5000), ['a1', 'a2', 'a3']);
});

test('a suspected server gets no requests, then single trial requests until one succeeds', t => {
	const server = sampleServer('a1', 'large', {from: 0, to: 80});
	const serverHealth = new ServerHealthTracker(healthTimings, new RecordingLog());
	t.true(serverHealth.suspect(server, 'no connection', 0, SuspicionCause.Unresponsive));
	t.false(serverHealth.suspect(server, 'no connection', 10, SuspicionCause.Unresponsive), 'one suspicion at a time');
	t.false(serverHealth.isUsable(server, 1999));
	t.true(serverHealth.isUsable(server, 2000));
	serverHealth.recordDispatch(server, 2000);
	t.false(serverHealth.isUsable(server, 2500), 'one trial at a time');
	t.false(serverHealth.isHealthy(server));
	serverHealth.suspect(server, 'no connection', 2600, SuspicionCause.Unresponsive);
	t.false(serverHealth.isUsable(server, 6500), 'the second suspicion lasts twice as long');
	serverHealth.clearSuspicion(server, 6700);
	t.true(serverHealth.isUsable(server, 6700) && serverHealth.isHealthy(server));
});

// Guards against a sound server that was silent for a moment and stays without work although its streams go on.
test('an event of a stream refutes a suspicion that a stage does not work, but not that it says that it is failing', t => {
	const server = sampleServer('a1', 'large', {from: 0, to: 80});
	const pipeline = [{server, range: {from: 0, to: 80}}];
	const serverHealth = new ServerHealthTracker(healthTimings, new RecordingLog());
	serverHealth.suspect(server, 'it does not respond', 0, SuspicionCause.Unresponsive);
	serverHealth.recordPipelineProgress(pipeline, 50);
	t.true(serverHealth.isSuspected(server, 50), 'the event may have been sent before the server stopped');
	serverHealth.recordPipelineProgress(pipeline, 250);
	t.true(serverHealth.isUsable(server, 250));
	serverHealth.suspect(server, 'it is leaving', 300, SuspicionCause.Failing);
	serverHealth.recordPipelineProgress(pipeline, 900);
	t.true(serverHealth.isSuspected(server, 900));
});

// Guards against a leaving or failing server that gets work again because it was first suspected for its silence.
test('an event does not refute that a server is failing if it was already suspected for another cause', t => {
	const server = sampleServer('a1', 'large', {from: 0, to: 80});
	const serverHealth = new ServerHealthTracker(healthTimings, new RecordingLog());
	serverHealth.suspect(server, 'it does not respond', 0, SuspicionCause.Unresponsive);
	serverHealth.suspect(server, 'it is leaving', 100, SuspicionCause.Failing);
	serverHealth.suspect(server, 'it does not respond', 150, SuspicionCause.Unresponsive);
	serverHealth.recordPipelineProgress([{server, range: {from: 0, to: 80}}], 400);
	t.true(serverHealth.isSuspected(server, 400));
});

test('a server whose entry expired during an outage of the list is kept until the list has recovered', t => {
	const timers = new ManualTimerService();
	const directory = new ServerDirectory(timers, new RecordingLog());
	const [first, second] = [sampleServer('a', 'large'), sampleServer('b', 'large')];
	directory.applyReading({servers: [first, second], requestedAt: 1, mayBeIncomplete: false});
	directory.applyReading({servers: [first], requestedAt: 2, mayBeIncomplete: true});
	t.is(directory.usable('model').length, 2);
	directory.applyReading({servers: [first], requestedAt: 3, mayBeIncomplete: false});
	t.deepEqual(directory.usable('model').map(({id}) => id), ['a']);
});

test('a leaving server stays leaving for its incarnation, and an outdated entry does not restore an earlier incarnation', t => {
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

test('an ordered range overrides the listed one for a limited time', t => {
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

test('a burst of requests to a plain service stays within the request limit of each server', t => {
	const timers = new ManualTimerService();
	const log = new RecordingLog();
	const directory = new ServerDirectory(timers, log);
	const servers = ['a', 'b'].map(id => sampleServer(id, '', undefined, {service: 'records'}));
	directory.applyReading({servers, requestedAt: 0, mayBeIncomplete: false});
	const load = new ServerLoad();
	const selector = new PlainServerSelector({
		directory,
		serverHealth: new ServerHealthTracker(healthTimings, log),
		backpressure: sampleBackpressure(),
		load,
		random: new RandomSource(seed()),
	});
	const selected: string[] = [];
	for (let request = 0; request < 10; request++) {
		const server = selector.select({service: 'records', excluded: new Set(), maxRequests: 3}, 0);
		if (server) {
			load.start([{server, range: {from: 0, to: 0}}], 0);
			selected.push(server.id);
		}
	}

	t.deepEqual(selected.toSorted(), ['a', 'a', 'a', 'b', 'b', 'b']);
});

// Guards against memory that counts as used although a pipeline runs only some layers of a server.
test('a stage that runs half of the layers of a server counts half of the tokens there', t => {
	const load = new ServerLoad();
	const server = sampleServer('b1', 'large', {from: 0, to: 40});
	const handle = load.start([{server, range: {from: 0, to: 20}}], 1000);
	const release = load.reserve([{server, range: {from: 20, to: 40}}], 500);
	t.is(load.getTokens(server), 750);
	handle.update(2000);
	t.is(load.getTokens(server), 1250);
	handle.release();
	release();
	t.is(load.getTokens(server), 0);
});
