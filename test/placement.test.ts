import test from 'ava';
import fc from 'fast-check';
import {sampleModel} from '../harness/sample-model.js';
import {type BackendServer} from '../src/pipelines/backend-server.js';
import {computeMaxLayers} from '../src/pipelines/engine-model.js';
import {findPipeline} from '../src/pipelines/pipeline-finder.js';
import {coversAllLayers} from '../src/pipelines/pipeline.js';
import {planInitialPlacement, computeTargetCapacity, type Placement} from '../src/placement/initial-placement.js';
import {computeCapacityByLayer, type LayerAssignment} from '../src/placement/layer-capacity.js';
import {planRepair} from '../src/placement/repair-plan.js';
import {sampleServer, sampleZone} from './support/sample-fleet.js';
import {seed} from './support/seed.js';

const targetCapacity = computeTargetCapacity(sampleModel, 0.6);

function applyPlacements(servers: readonly BackendServer[], placements: readonly Placement[]): readonly BackendServer[] {
	const ranges = new Map(placements.map(({server, range}) => [server.id, range]));
	return servers.map(server => ({...server, range: ranges.get(server.id) ?? server.range}));
}

function toAssignments(servers: readonly BackendServer[]): readonly LayerAssignment[] {
	return servers.map(server => ({server, range: server.range, isLoaded: true}));
}

function findSamplePipeline(servers: readonly BackendServer[]) {
	return findPipeline(servers, sampleModel.layers, {computeStageCost: (_server, range) => range.to - range.from, crossingCost: 0})?.pipeline;
}

test('an initial placement covers all layers with the target capacity and uses all servers', t => {
	const placements = planInitialPlacement(sampleZone(), sampleModel, targetCapacity);
	const servers = applyPlacements(sampleZone(), placements);
	const pipeline = findSamplePipeline(servers);
	t.truthy(pipeline && coversAllLayers(pipeline, sampleModel.layers));
	t.true(Math.min(...computeCapacityByLayer(toAssignments(servers), sampleModel)) >= targetCapacity);
	t.is(placements.length, servers.length, 'every server gets layers');
});

test('no placement gives a server more layers than fit into its memory', t => {
	fc.assert(fc.property(
		fc.array(fc.constantFrom('large', 'middle', 'small'), {minLength: 1, maxLength: 40}),
		fc.double({min: 0, max: 1, noNaN: true}),
		(cards, share) => {
			const servers = cards.map((card, index) => sampleServer(`s${index}`, card));
			const placements = planInitialPlacement(servers, sampleModel, computeTargetCapacity(sampleModel, share));
			for (const {server, range} of placements) {
				t.true(range.to - range.from <= computeMaxLayers(sampleModel, sampleModel.acceleratorTypes.get(server.card)!));
				t.true(range.from >= 0 && range.from < range.to && range.to <= sampleModel.layers);
			}

			t.true(placements.length === 0 || findSamplePipeline(applyPlacements(servers, placements)) !== undefined);
		},
	), {seed: seed()});
});

test('a fleet whose memory cannot hold the model gets no placement', t => {
	t.deepEqual(planInitialPlacement([sampleServer('one', 'large')], sampleModel, targetCapacity), []);
});

for (const lost of ['large', 'middle', 'small']) {
	test(`moves of few remaining servers cover the layers of a lost ${lost} server`, t => {
		const servers = applyPlacements(sampleZone(), planInitialPlacement(sampleZone(), sampleModel, targetCapacity));
		for (const lostServer of servers.filter(({card}) => card === lost)) {
			const left = servers.filter(server => server !== lostServer);
			const moves = planRepair(toAssignments(left), sampleModel, {targetCapacity, mayUseIdleServers: false});
			const repaired = applyPlacements(left, moves);
			t.truthy(findSamplePipeline(repaired), `after the loss of ${lostServer.id}`);
			t.true(moves.length <= 4, 'few servers move');
		}
	});
}

test('a server that returns without layers takes the lost ones and adjacent ones with little capacity', t => {
	const left = [
		sampleServer('first', 'large', {from: 0, to: 23}),
		sampleServer('grown', 'middle', {from: 35, to: 57}),
		sampleServer('last', 'large', {from: 57, to: 80}),
	];
	const back = sampleServer('back', 'middle');
	const moves = planRepair(toAssignments([...left, back]), sampleModel, {targetCapacity, mayUseIdleServers: false});
	t.deepEqual(moves.map(({server, range}) => [server.id, range]), [['back', {from: 23, to: 37}]], 'the lost layers 23 to 35, and two of the server with little capacity');
});

test('an added server takes the layers with the least capacity once idle servers may be used', t => {
	const servers = applyPlacements(sampleZone(), planInitialPlacement(sampleZone(), sampleModel, targetCapacity));
	const added = sampleServer('added', 'large');
	t.deepEqual(planRepair(toAssignments([...servers, added]), sampleModel, {targetCapacity, mayUseIdleServers: false}), []);
	const [move] = planRepair(toAssignments([...servers, added]), sampleModel, {targetCapacity, mayUseIdleServers: true});
	t.is(move.server, added);
	const capacities = computeCapacityByLayer(toAssignments(servers), sampleModel);
	t.true(move.range.from <= capacities.indexOf(Math.min(...capacities)) && move.range.to > capacities.indexOf(Math.min(...capacities)));
});

test('a server with too many layers drops those that another server has loaded again', t => {
	const servers = [
		sampleServer('first', 'large', {from: 0, to: 23}),
		sampleServer('grown', 'large', {from: 23, to: 60}),
		sampleServer('back', 'large', {from: 23, to: 46}),
		sampleServer('last', 'large', {from: 60, to: 80}),
	];
	const moves = planRepair(toAssignments(servers), sampleModel, {targetCapacity, mayUseIdleServers: false});
	t.deepEqual(moves.map(({server, range}) => [server.id, range]), [['grown', {from: 46, to: 60}]]);
});

test('no repair drops the last copy of a layer or exceeds the memory of a server', t => {
	fc.assert(fc.property(fc.array(fc.nat(11), {maxLength: 6}), fc.boolean(), (losses, mayUseIdleServers) => {
		const servers = applyPlacements(sampleZone(), planInitialPlacement(sampleZone(), sampleModel, targetCapacity));
		const left = servers.filter((_server, index) => !losses.includes(index));
		const before = computeCapacityByLayer(toAssignments(left), sampleModel);
		const moves = planRepair(toAssignments(left), sampleModel, {targetCapacity, mayUseIdleServers});
		const after = computeCapacityByLayer(toAssignments(applyPlacements(left, moves)), sampleModel);
		for (const [layer, capacity] of before.entries()) {
			t.true(capacity === 0 || after[layer] > 0, `layer ${layer} is still covered`);
		}

		for (const {server, range} of moves) {
			t.true(range.to - range.from <= computeMaxLayers(sampleModel, sampleModel.acceleratorTypes.get(server.card)!));
		}
	}), {seed: seed()});
});
