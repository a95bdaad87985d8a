import test from 'ava';
import {sampleModel} from '../harness/sample-model.js';
import {type BackendServer} from '../src/pipelines/backend-server.js';
import {InterzoneBandwidthBudget} from '../src/pipelines/interzone-bandwidth-budget.js';
import {type PipelineRequest} from '../src/pipelines/pipeline-request.js';
import {PipelineSelector} from '../src/pipelines/pipeline-selector.js';
import {ServerDirectory} from '../src/pipelines/server-directory.js';
import {ServerHealthTracker} from '../src/pipelines/server-health-tracker.js';
import {ServerLoad} from '../src/pipelines/server-load.js';
import {ServerSlowdowns} from '../src/pipelines/server-slowdowns.js';
import {RandomSource} from '../src/routing/random-source.js';
import {FullStages} from '../src/scheduling/full-stages.js';
import {OccupancyForecast} from '../src/scheduling/occupancy-forecast.js';
import {PredictedPrices} from '../src/scheduling/predicted-prices.js';
import {Exclusion} from '../src/scheduling/selection-explanation.js';
import {StartShares} from '../src/scheduling/start-shares.js';
import {ManualTimerService} from '../src/time/manual-timer-service.js';
import {sampleBackpressure} from './support/sample-backpressure.js';
import {RecordingLog, sampleServer} from './support/sample-fleet.js';
import {seed} from './support/seed.js';

const weights = {
	remoteZone: 0.4, crossing: 5, maxOccupancy: 1, occupancyWeight: 3, maxLoadAge: 1500,
};
const request: PipelineRequest = {
	service: 'model', model: sampleModel, tokens: 1000, promptTokens: 800, latencyTarget: 500, excluded: new Set(),
};

function createFixture(servers: readonly BackendServer[], instances: number) {
	const directory = new ServerDirectory(new ManualTimerService(), new RecordingLog());
	directory.applyReading({servers, requestedAt: 0, mayBeIncomplete: false});
	const load = new ServerLoad();
	const slowdowns = new ServerSlowdowns(3000);
	const random = new RandomSource(seed());
	const forecast = new OccupancyForecast({
		load, fullStages: new FullStages(1000), getPeerForecast: () => ({
			tokens: 0, startRate: 0, endRate: 0, age: 500,
		}),
	}, 1);
	const prices = new PredictedPrices({
		load, slowdowns, forecast, random, shares: new StartShares(random), countInstances: () => instances,
	}, weights);
	const selector = new PipelineSelector({
		directory,
		serverHealth: new ServerHealthTracker({
			suspicion: 2000, maxSuspicion: 8000, saturationBackoff: 250, trialPause: 700,
		}, new RecordingLog()),
		backpressure: sampleBackpressure(),
		load,
		slowdowns,
		availabilityZone: 'zone-a',
		interzoneBandwidth: new InterzoneBandwidthBudget(0.5, 1000, () => 1),
		getPeerTokens: () => 0,
		prices,
	}, weights);
	return {selector, prices, load};
}

const inZoneB = {availabilityZone: 'zone-b'};

// Guards against a layer that no server of a zone has being taken for one without room, which would close the zone.
test('with many instances, a pipeline still crosses zones where no zone has all layers', t => {
	const {selector} = createFixture([sampleServer('a', 'large', {from: 0, to: 30}), sampleServer('b', 'large', {from: 30, to: 56}, inZoneB), sampleServer('c', 'large', {from: 56, to: 80}, inZoneB)], 65);
	t.deepEqual(selector.select(request, 1000)?.map(({server}) => server.id), ['a', 'b', 'c']);
});

const chains = ['a', 'b', 'c'].flatMap(name => [0, 20, 40, 60].map(from => sampleServer(`${name}${from}`, 'large', {from, to: from + 20})));

// Guards against a fleet whose instances all select the same pipeline, and against a small one that no longer selects the cheapest.
test('choices differ with many instances and not with three', t => {
	const choose = (instances: number) => {
		const {selector} = createFixture(chains, instances);
		return new Set(Array.from({length: 30}, () => selector.select(request, 1000)?.map(({server}) => server.id).join(','))).size;
	};

	t.is(choose(3), 1);
	t.true(choose(65) > 10);
});

// Guards against an explanation that changes what is selected next, and against rejections that are forgotten.
test('an explanation names what excludes a server, and has no side effects', t => {
	const [explained, other] = [createFixture(chains, 65), createFixture(chains, 65)];
	for (const {prices} of [explained, other]) {
		prices.recordRejection({
			server: chains[1], pipeline: [], model: sampleModel, tokens: 1000, now: 1000,
		});
	}

	const explanation = explained.selector.explain(request, 1000);
	t.is(explanation.candidates.find(({server}) => server === 'a20')?.exclusion, Exclusion.Memory);
	t.true(explanation.isOnTime);
	t.is(explanation.chosen?.length, 4);
	const selectAll = ({selector}: typeof explained) => Array.from({length: 20}, (_, index) => selector.select(request, 1000 + index)?.map(({server}) => server.id));
	t.deepEqual(selectAll(explained), selectAll(other));
});
