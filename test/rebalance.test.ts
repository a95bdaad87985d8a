import test from 'ava';
import fc from 'fast-check';
import {sampleModel} from '../harness/sample-model.js';
import {Metrics} from '../src/observation/metrics.js';
import {computeMaxLayers} from '../src/pipelines/engine-model.js';
import {computeTargetCapacity} from '../src/placement/initial-placement.js';
import {computeCapacityByLayer, type LayerAssignment} from '../src/placement/layer-capacity.js';
import {PlacementPlan} from '../src/placement/placement-plan.js';
import {planRebalance, RebalanceOutcome} from '../src/placement/rebalance-plan.js';
import {planZonePlacement} from '../src/placement/zone-placement.js';
import {ZoneRebalancer} from '../src/placement/zone-rebalancer.js';
import {RecordingLog, sampleServer} from './support/sample-fleet.js';
import {seed} from './support/seed.js';

const maxCapacity = computeTargetCapacity(sampleModel, 1);
const hour = 3_600_000;

function computeCapacities(assignments: readonly LayerAssignment[]): readonly number[] {
	return computeCapacityByLayer(assignments, sampleModel, maxCapacity);
}

/** Two halves of the model with several copies each: four of the first, and one of the second. */
function createUnevenZone(): readonly LayerAssignment[] {
	const copies = [0, 0, 0, 0, 1].flatMap(half => [0, 20].map(from => ({from: from + (half * 40), to: from + (half * 40) + 20})));
	return copies.map((range, index) => ({server: sampleServer(`s${index}`, 'large', range), range, isLoaded: true}));
}

function rebalance(assignments: readonly LayerAssignment[], demandShare: number, shortageTime: number) {
	return planRebalance(assignments, sampleModel, {demand: Math.min(...computeCapacities(assignments)) * demandShare, shortageTime, maxMoves: 2});
}

test('servers move to the scarce half only while the demand needs it, and after a shortage that lasts', t => {
	const zone = createUnevenZone();
	t.is(rebalance(zone, 0.7, hour).outcome, RebalanceOutcome.Sufficient);
	t.is(rebalance(zone, 0.95, sampleModel.loadTime - 1).outcome, RebalanceOutcome.Recent);
	const {outcome, moves, planned, scarcest} = rebalance(zone, 0.95, hour);
	t.is(outcome, RebalanceOutcome.Moved);
	t.true(moves.length > 0 && moves.length <= 2 && planned >= scarcest * 1.1);
	t.true(moves.every(({server, range}) => range.from >= 40 && server.range!.to <= 40));
	const loading = zone.map((assignment, index) => ({...assignment, isLoaded: index > 0}));
	t.is(rebalance(loading, 0.95, hour).outcome, RebalanceOutcome.InRepair, 'nothing moves while a server loads');
});

test('no server moves whose loss would leave a layer below the demand', t => {
	const zone = createUnevenZone().filter((_assignment, index) => index < 2 || index > 7);
	t.is(rebalance(zone, 0.95, hour).outcome, RebalanceOutcome.Unsafe);
});

test('moves keep the demand served while they load, raise the scarcest layer, and come to an end', t => {
	const fleets = fc.record({large: fc.integer({min: 1, max: 4}), middle: fc.nat(8), small: fc.nat(14)});
	fc.assert(fc.property(fleets, fc.array(fc.nat(30), {maxLength: 5}), fc.double({min: 0.5, max: 1, noNaN: true}), ({large, middle, small}, lost, demandShare) => {
		const servers = Object.entries({large, middle, small}).flatMap(([card, count]) => Array.from({length: count}, (_, index) => sampleServer(`${card}-${index}`, card)));
		let zone: readonly LayerAssignment[] = planZonePlacement(servers, sampleModel, 0.6, PlacementPlan.Balanced).placements
			.filter((_placement, index) => !lost.includes(index)).map(placement => ({...placement, isLoaded: true}));
		let hasEnded = false;
		for (let round = 0; round < 20 && !hasEnded; round++) {
			const {moves, scarcest, planned} = rebalance(zone, demandShare, hour);
			const ranges = new Map(moves.map(({server, range}) => [server, range]));
			const during = computeCapacities(zone.filter(({server}) => !ranges.has(server)));
			t.true(moves.length === 0 || Math.min(...during) >= scarcest * demandShare * 0.999_999, 'the demand is served meanwhile');
			t.true(moves.every(({server, range}) => range.to - range.from <= computeMaxLayers(sampleModel, sampleModel.acceleratorTypes.get(server.card)!)));
			zone = zone.map(assignment => ({...assignment, range: ranges.get(assignment.server) ?? assignment.range}));
			t.true(Math.min(...computeCapacities(zone)) >= planned * 0.999_999);
			hasEnded = moves.length === 0;
		}

		t.true(hasEnded, 'servers do not move back and forth');
	}), {seed: seed(), numRuns: 60});
});

test('a shortage that pauses, or a fleet that changes, starts the wait again', t => {
	const zone = createUnevenZone();
	const scarcest = Math.min(...computeCapacities(zone));
	const log = new RecordingLog();
	let share = 0.95;
	const rebalancer = new ZoneRebalancer({metrics: new Metrics(), log, getTokens: () => scarcest * share}, 2);
	const plan = (now: number, members = zone) => rebalancer.plan('zone-a', members, sampleModel, now).length;
	t.is(plan(0), 0);
	share = 0.5;
	t.is(plan(sampleModel.loadTime), 0);
	share = 0.95;
	t.is(plan(2 * sampleModel.loadTime), 0, 'the demand had fallen');
	t.is(plan(hour, zone.slice(1)), 0, 'the fleet has changed');
	t.is(plan(hour + 1), 0, 'it has changed again');
	t.true(plan(2 * hour) > 0);
	t.deepEqual(log.lines.map(({fields}) => fields.outcome), [...Array.from({length: 4}, () => RebalanceOutcome.Recent), RebalanceOutcome.Moved], 'one line for each wait');
	t.is(new ZoneRebalancer({metrics: new Metrics(), log, getTokens: () => scarcest}, 0).plan('zone-a', zone, sampleModel, hour).length, 0);
});
