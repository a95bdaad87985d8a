import test from 'ava';
import {CacheChange} from '../src/backends/cache-event.js';
import {HttpModelEngine} from '../src/backends/http-model-engine.js';
import {ClockTimerService} from '../src/time/clock-timer-service.js';
import {ManualTimerService} from '../src/time/manual-timer-service.js';
import {EngineCache} from '../simulators/engine-cache.js';
import {engineSettingsSchema} from '../simulators/engine-settings.js';
import {EngineSimulator} from '../simulators/engine-simulator.js';
import {findViolations} from '../simulators/layer-check.js';
import {createAttemptState} from '../simulators/attempt-state.js';
import {workItemSchema} from '../simulators/work-item.js';

function createPrompt(index: number): string {
	return `${index}`.padEnd(64, '.');
}

test('cache events of the engine simulator are delayed and have gaps, and the cache evicts its oldest entries', t => {
	const timers = new ManualTimerService();
	const cache = new EngineCache(200, 1000, timers);
	for (let index = 0; index < 30; index++) {
		cache.put(`r${index}`, createPrompt(index), 16);
	}

	t.deepEqual(cache.readEventsAfter(0), []);
	timers.advance(1000);
	const events = cache.readEventsAfter(0);
	t.true(events.some(({change}) => change === CacheChange.Evicted));
	const sequences = new Set(events.map(({sequence}) => sequence));
	t.false(sequences.has(10));
	t.true(sequences.has(11));
	t.is(cache.findPositions('none', createPrompt(0)), 0, 'the oldest prefix is evicted');
	t.true(cache.findPositions('none', createPrompt(29)) > 0);
});

test('a KV cache is copied between engine simulators through HttpModelEngine', async t => {
	const timers = new ClockTimerService();
	const servers = await Promise.all(['a', 'b'].map(async id => {
		const settings = engineSettingsSchema.parse({
			id, firstLayer: 0, endLayer: 4, layers: 4, reportLag: 10,
		});
		const simulator = new EngineSimulator(settings, timers);
		const port = await simulator.listen();
		return {
			simulator, stage: {
				server: id, address: `127.0.0.1:${port}`, firstLayer: 0, endLayer: 4, version: 'v1',
			},
		};
	}));
	const engine = new HttpModelEngine(timers);
	const [from, to] = servers.map(({stage}) => stage);
	t.is(await engine.copyCache('r', from, to, 1000), 0);
	t.deepEqual(await engine.readCacheEvents(from.address, 0, 1000), []);
	await Promise.all(servers.map(async ({simulator}) => simulator.close()));
});

test('findViolations reports layers and positions that are skipped or repeated, and work for another server', t => {
	const settings = engineSettingsSchema.parse({
		id: 'b', firstLayer: 8, endLayer: 16, layers: 24,
	});
	const stage = (server: string, firstLayer: number) => ({
		server, address: '', firstLayer, endLayer: firstLayer + 8, version: 'v1',
	});
	const work = workItemSchema.parse({
		attempt: {
			request: 'r', number: 1, route: [stage('a', 0), stage('b', 8)], prompt: '', generated: [], maximumTokens: 5, priority: 'normal',
		},
		stage: 1,
		index: 3,
		starts: [7, 7],
		end: 8,
		layer: 8,
		state: 1,
		receipts: [],
	});
	const attemptState = {...createAttemptState(), nextPosition: 7};
	t.deepEqual(findViolations(work, attemptState, settings), []);
	t.is(findViolations({...work, layer: 0}, attemptState, settings).length, 1, 'the item starts at a wrong layer');
	t.is(findViolations({...work, starts: [6, 6]}, attemptState, settings).length, 1, 'a position is repeated');
	t.is(findViolations({...work, starts: [8, 8]}, attemptState, settings).length, 1, 'a position is skipped');
	t.is(findViolations({...work, stage: 0}, attemptState, settings).length, 1, 'the item is for another server');
});
