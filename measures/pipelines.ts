import {performance} from 'node:perf_hooks';
import {sampleModel} from '../harness/sample-model.js';
import {type BackendServer} from '../src/pipelines/backend-server.js';
import {groupByZone} from '../src/pipelines/pipeline-selector.js';
import {findPipeline} from '../src/pipelines/pipeline-finder.js';
import {planInitialPlacement, computeTargetCapacity} from '../src/placement/initial-placement.js';
import {planRepair} from '../src/placement/repair-plan.js';
import {RandomSource} from '../src/routing/random-source.js';
import {fitLine, round, type Report} from './report.js';

const sizes: readonly number[] = [33, 86, 200, 400];
const zones = 3;
const repetitions = 60;
const share = 0.6;

function createFleet(size: number, random: RandomSource): readonly BackendServer[] {
	const cards = ['large', 'middle', 'middle', 'middle', 'small', 'small', 'small', 'small'];
	return Array.from({length: size}, (_, index) => ({
		id: `s${index}`, address: '', service: 'model', availabilityZone: `zone-${index % zones}`, isLeaving: false, startedAt: 0, slots: 134, card: random.pick(cards),
	}));
}

function placeServers(servers: readonly BackendServer[]): readonly BackendServer[] {
	const placements = [...groupByZone(servers).values()].flatMap(members => planInitialPlacement(members, sampleModel, computeTargetCapacity(sampleModel, share)));
	const ranges = new Map(placements.map(({server, range}) => [server.id, range]));
	return servers.map(server => ({...server, range: ranges.get(server.id)}));
}

/** Runs a function several times and returns the average duration in milliseconds. */
function measureAverageMs(work: () => void, times: number): number {
	const startedAt = performance.now();
	for (let time = 0; time < times; time++) {
		work();
	}

	return (performance.now() - startedAt) / times;
}

/** Measures the time to select a pipeline and to plan the repair of an availability zone, by the number of servers of a model in three zones. */
export async function measurePipelines(seed: number): Promise<Report> {
	const random = new RandomSource(seed);
	const rows = sizes.map(size => {
		const servers = placeServers(createFleet(size, random));
		const choose = measureAverageMs(() => {
			findPipeline(servers, sampleModel.layers, {computeStageCost: (_server, range) => range.to - range.from, crossingCost: 400});
		}, repetitions);
		const [zone] = groupByZone(servers).values();
		const holdings = zone.slice(1).map(server => ({server, range: server.range, isLoaded: true}));
		const repair = measureAverageMs(() => {
			planRepair(holdings, sampleModel, {targetCapacity: computeTargetCapacity(sampleModel, share), mayUseIdleServers: true});
		}, 10);
		return {size, choose, repair};
	});
	const {slope, base} = fitLine(rows.map(({size, choose}) => [size, choose]));
	return {
		header: ['servers', 'choose a pipeline, ms', 'plan a repair of a zone, ms'],
		rows: rows.map(({size, choose, repair}) => [size, round(choose, 3), round(repair, 3)]),
		figures: {sizes: rows, millisecondsPerServer: round(slope, 4), base: round(base, 3)},
	};
}
