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

const wanted = computeTargetCapacity(sampleModel, 0.6);

function placed(servers: readonly BackendServer[], placements: readonly Placement[]): readonly BackendServer[] {
	const ranges = new Map(placements.map(({server, range}) => [server.id, range]));
	return servers.map(server => ({...server, range: ranges.get(server.id) ?? server.range}));
}

function holdingsOf(servers: readonly BackendServer[]): readonly LayerAssignment[] {
	return servers.map(server => ({server, range: server.range, isLoaded: true}));
}

function pipelineOf(servers: readonly BackendServer[]) {
	return findPipeline(servers, sampleModel.layers, {computeStageCost: (_server, range) => range.to - range.from, crossingCost: 0})?.pipeline;
}

test('a first placement holds all layers with the wanted room on the fastest cards', t => {
	const placements = planInitialPlacement(sampleZone(), sampleModel, wanted);
	const servers = placed(sampleZone(), placements);
	const pipeline = pipelineOf(servers);
	t.truthy(pipeline && coversAllLayers(pipeline, sampleModel.layers));
	t.true(Math.min(...computeCapacityByLayer(holdingsOf(servers), sampleModel)) >= wanted);
	t.is(placements.length, servers.length, 'no server stays without layers');
});

test('no placement gives a server more layers than its memory holds', t => {
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

			t.true(placements.length === 0 || pipelineOf(placed(servers, placements)) !== undefined);
		},
	), {seed: seed()});
});

test('a fleet whose memory does not hold the model gets no placement', t => {
	t.deepEqual(planInitialPlacement([sampleServer('one', 'large')], sampleModel, wanted), []);
});

for (const lost of ['large', 'middle', 'small']) {
	test(`the layers of a lost ${lost} card are held again by moves of servers that are left`, t => {
		const servers = placed(sampleZone(), planInitialPlacement(sampleZone(), sampleModel, wanted));
		for (const victim of servers.filter(({card}) => card === lost)) {
			const left = servers.filter(server => server !== victim);
			const moves = planRepair(holdingsOf(left), sampleModel, {targetCapacity: wanted, mayUseIdleServers: false});
			const repaired = placed(left, moves);
			t.truthy(pipelineOf(repaired), `after the loss of ${victim.id}`);
			t.true(moves.length <= 4, 'few servers move');
		}
	});
}

test('a server that comes back empty takes the lost layers and weak ones beside them', t => {
	const left = [
		sampleServer('first', 'large', {from: 0, to: 23}),
		sampleServer('grown', 'middle', {from: 35, to: 57}),
		sampleServer('last', 'large', {from: 57, to: 80}),
	];
	const back = sampleServer('back', 'middle');
	const moves = planRepair(holdingsOf([...left, back]), sampleModel, {targetCapacity: wanted, mayUseIdleServers: false});
	t.deepEqual(moves.map(({server, range}) => [server.id, range]), [['back', {from: 23, to: 37}]], 'the lost layers 23 to 35, and two of those whose server has little room');
});

test('an added server strengthens the layers with the least room once it may', t => {
	const servers = placed(sampleZone(), planInitialPlacement(sampleZone(), sampleModel, wanted));
	const added = sampleServer('added', 'large');
	t.deepEqual(planRepair(holdingsOf([...servers, added]), sampleModel, {targetCapacity: wanted, mayUseIdleServers: false}), []);
	const [move] = planRepair(holdingsOf([...servers, added]), sampleModel, {targetCapacity: wanted, mayUseIdleServers: true});
	t.is(move.server, added);
	const rooms = computeCapacityByLayer(holdingsOf(servers), sampleModel);
	t.true(move.range.from <= rooms.indexOf(Math.min(...rooms)) && move.range.to > rooms.indexOf(Math.min(...rooms)));
});

test('a server that took on many layers gives back those that others hold again', t => {
	const holdings = [
		sampleServer('first', 'large', {from: 0, to: 23}),
		sampleServer('grown', 'large', {from: 23, to: 60}),
		sampleServer('back', 'large', {from: 23, to: 46}),
		sampleServer('last', 'large', {from: 60, to: 80}),
	];
	const moves = planRepair(holdingsOf(holdings), sampleModel, {targetCapacity: wanted, mayUseIdleServers: false});
	t.deepEqual(moves.map(({server, range}) => [server.id, range]), [['grown', {from: 46, to: 60}]]);
});

test('no repair gives up the last copy of a layer or overfills a card', t => {
	fc.assert(fc.property(fc.array(fc.nat(11), {maxLength: 6}), fc.boolean(), (losses, mayStrengthen) => {
		const servers = placed(sampleZone(), planInitialPlacement(sampleZone(), sampleModel, wanted));
		const left = servers.filter((_server, index) => !losses.includes(index));
		const before = computeCapacityByLayer(holdingsOf(left), sampleModel);
		const moves = planRepair(holdingsOf(left), sampleModel, {targetCapacity: wanted, mayUseIdleServers: mayStrengthen});
		const after = computeCapacityByLayer(holdingsOf(placed(left, moves)), sampleModel);
		for (const [layer, room] of before.entries()) {
			t.true(room === 0 || after[layer] > 0, `layer ${layer} is still held`);
		}

		for (const {server, range} of moves) {
			t.true(range.to - range.from <= computeMaxLayers(sampleModel, sampleModel.acceleratorTypes.get(server.card)!));
		}
	}), {seed: seed()});
});
