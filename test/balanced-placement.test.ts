import test from 'ava';
import fc from 'fast-check';
import {sampleModel} from '../harness/sample-model.js';
import {type BackendServer} from '../src/pipelines/backend-server.js';
import {computeMaxLayers, type AcceleratorType, type EngineModel} from '../src/pipelines/engine-model.js';
import {computeCapacityByLayer, type LayerAssignment} from '../src/placement/layer-capacity.js';
import {computeTargetCapacity, type Placement} from '../src/placement/initial-placement.js';
import {planRepair} from '../src/placement/repair-plan.js';
import {PlacementPlan} from '../src/placement/placement-plan.js';
import {computePlacementFigures, planZonePlacement} from '../src/placement/zone-placement.js';
import {sampleServer} from './support/sample-fleet.js';
import {seed} from './support/seed.js';

const slotShare = 0.6;

function createModel(usualAnswer: number, types: ReadonlyArray<readonly [string, number, number, number]>): EngineModel {
	const acceleratorTypes = new Map<string, AcceleratorType>(types.map(([name, megabytes, pace, readFactor]) => [name, {
		name, megabytes, pace, readFactor,
	}]));
	return {
		...sampleModel, tokenBytes: 900_000, usualPrompt: 775, usualAnswer, acceleratorTypes,
	};
}

const siteA = createModel(142, [['a100', 72_000, 2.4, 3.2], ['v100', 14_000, 5.3, 7.9], ['l4', 22_000, 16, 8.2]]);
const siteB = createModel(219, [['a100s', 36_000, 3.1, 3.2], ['l4', 22_000, 16, 8.2], ['t4', 14_000, 15, 15]]);

function createServers(counts: Readonly<Record<string, number>>): readonly BackendServer[] {
	return Object.entries(counts).flatMap(([card, count]) => Array.from({length: count}, (_, index) => sampleServer(`${card}-${String(index).padStart(2, '0')}`, card)));
}

/** Returns the requests that the slots and the memory of the scarcest layer allow. */
function computeFloor(assignments: readonly LayerAssignment[], model: EngineModel): number {
	return Math.min(...computeCapacityByLayer(assignments, model, computeTargetCapacity(model, 1)));
}

function computeScarcest(placements: readonly Placement[], model: EngineModel): number {
	return Math.min(...computeCapacityByLayer(placements.map(placement => ({...placement, isLoaded: true})), model));
}

const zones: ReadonlyArray<readonly [string, EngineModel, Readonly<Record<string, number>>]> = [
	['capital', siteA, {a100: 4, v100: 10, l4: 11}],
	['villa-maria', siteA, {a100: 3, v100: 14, l4: 16}],
	['rio-cuarto', siteA, {a100: 2, v100: 24, l4: 9}],
	['riga-a', siteB, {a100s: 4, l4: 9, t4: 14}],
	['riga-b', siteB, {a100s: 2, l4: 13, t4: 22}],
	['riga-c', siteB, {a100s: 1, l4: 22, t4: 12}],
];

for (const [zone, model, counts] of zones) {
	test(`the scarcest layer of ${zone} does not limit the requests to far less than the memory allows`, t => {
		const servers = createServers(counts);
		const {plan, placements} = planZonePlacement(servers, model, slotShare, PlacementPlan.Balanced);
		const balanced = computePlacementFigures(servers, placements, model);
		const copies = computePlacementFigures(servers, planZonePlacement(servers, model, slotShare, PlacementPlan.Chains).placements, model);
		t.log(zone, plan, balanced, 'copies', copies);
		t.is(plan, PlacementPlan.Balanced);
		t.true(balanced.scarcest >= copies.scarcest && balanced.packed > copies.packed);
		t.true(balanced.scarcest >= 0.75 * balanced.bound);
		t.is(placements.length, servers.length, 'no server stays idle');
		t.deepEqual(planZonePlacement(servers, model, slotShare, PlacementPlan.Balanced).placements, placements, 'another holder of the lease plans the same');
	});
}

test('a balanced plan covers all layers, fits into the memory and is never worse than copies at the scarcest layer', t => {
	const counts = fc.record({large: fc.nat(4), middle: fc.nat(8), small: fc.nat(14)});
	fc.assert(fc.property(counts, fc.integer({min: 200_000, max: 2_000_000}), fc.integer({min: 4, max: 80}), (cards, tokenBytes, layers) => {
		const model = {...sampleModel, tokenBytes, layers};
		const servers = createServers(cards);
		const copies = planZonePlacement(servers, model, slotShare, PlacementPlan.Chains).placements;
		const {placements} = planZonePlacement(servers, model, slotShare, PlacementPlan.Balanced);
		t.is(placements.length > 0, copies.length > 0);
		t.is(new Set(placements.map(({server}) => server)).size, placements.length, 'a server gets one range');
		for (const {server, range} of placements) {
			t.true(range.from >= 0 && range.from < range.to && range.to <= layers);
			t.true(range.to - range.from <= computeMaxLayers(model, model.acceleratorTypes.get(server.card)!));
		}

		t.true(computeScarcest(placements, model) >= computeScarcest(copies, model));
		const figures = computePlacementFigures(servers, placements, model);
		t.true(figures.scarcest >= computePlacementFigures(servers, copies, model).scarcest);
		t.true(figures.scarcest <= figures.bound);
	}), {seed: seed(), numRuns: 30});
});

function repairUntilStable(assignments: readonly LayerAssignment[], model: EngineModel): readonly LayerAssignment[] | undefined {
	let current = assignments;
	for (let round = 0; round < 4; round++) {
		const moves = new Map(planRepair(current, model, {targetCapacity: computeTargetCapacity(model, slotShare), mayUseIdleServers: true}).map(({server, range}) => [server, range]));
		if (moves.size === 0) {
			return current;
		}

		current = current.map(assignment => ({...assignment, range: moves.get(assignment.server) ?? assignment.range}));
	}

	return undefined;
}

test('repair keeps a balanced plan, moves no server twice, and a replaced server restores the scarcest layer', t => {
	const cases = fc.record({zone: fc.constantFrom(...zones), lost: fc.nat(99), tokenBytes: fc.integer({min: 500_000, max: 1_400_000})});
	fc.assert(fc.property(cases, ({zone: [, site, counts], lost, tokenBytes}) => {
		const model = {...site, tokenBytes};
		const servers = createServers(counts);
		const {placements} = planZonePlacement(servers, model, slotShare, PlacementPlan.Balanced);
		const assignments = placements.map(placement => ({...placement, isLoaded: true}));
		const before = computeFloor(assignments, model);
		const kept = repairUntilStable(assignments, model);
		t.truthy(kept, 'moves end');
		t.true(computeFloor(kept ?? [], model) >= before, 'dropped layers make no layer scarcer');
		const replaced = assignments.map((assignment, index) => index === lost % assignments.length ? {server: {...assignment.server, id: 'new'}, isLoaded: true} : assignment);
		const repaired = repairUntilStable(replaced, model);
		t.truthy(repaired, 'moves end after a replacement');
		t.true(computeFloor(repaired ?? [], model) >= before * 0.95);
	}), {seed: seed(), numRuns: 25});
});
