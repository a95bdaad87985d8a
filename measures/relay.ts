import {requestCompletion} from '../harness/completion-caller.js';
import {HttpModelEngine} from '../src/backends/http-model-engine.js';
import {Priority} from '../src/configuration/priority.js';
import {engineSettingsSchema} from '../simulators/engine-settings.js';
import {
	Durations, fitLine, type Report, round,
} from './report.js';
import {MeasurementCluster} from './measurement-cluster.js';

const streamCounts = [8, 32, 96];
const answerLength = 400;
const windowMs = 8000;
const probeCount = 60;
const targetTokensPerSecond = 8900;

async function readEntryCpu(measurement: MeasurementCluster): Promise<number> {
	return measurement.cluster.readMetric(measurement.cluster.entries[0], 'siskinnotch_cpu_microseconds');
}

/** Measures tokens a second, and CPU microseconds a second, of one instance that relays a number of streams. */
async function measureRelayedTokens(measurement: MeasurementCluster, streams: number): Promise<{tokens: number; cpu: number}> {
	const {cluster} = measurement;
	let tokens = 0;
	const until = performance.now() + windowMs;
	const cpuBefore = await readEntryCpu(measurement);
	const startedAt = performance.now();
	await Promise.all(Array.from({length: streams}, async (_, index) => {
		for (let number = 0; performance.now() < until; number++) {
			const result = await requestCompletion({ // eslint-disable-line no-await-in-loop
				callerAddress: cluster.entries[0].callerAddress, key: measurement.key, model: 'findings', prompt: `${index} ${number} [${answerLength} tokens]`, maximumTokens: answerLength,
			});
			tokens += result.tokens;
		}
	}));
	const seconds = (performance.now() - startedAt) / 1000;
	return {tokens: tokens / seconds, cpu: (await readEntryCpu(measurement) - cpuBefore) / seconds};
}

/** Measures the milliseconds to the first token of an engine that is called without the router. */
async function measureDirectFirstToken(measurement: MeasurementCluster, number: number): Promise<number> {
	const {listed} = measurement.cluster.backends[0];
	const engine = new HttpModelEngine(measurement.cluster.timers);
	const startedAt = performance.now();
	return new Promise(resolve => {
		const handle = engine.run({
			request: `direct-${number}`,
			number: 1,
			route: [{
				server: listed.id, address: listed.address, firstLayer: 0, endLayer: 24, version: 'v1',
			}],
			prompt: `direct ${number} [3 tokens]`,
			generated: [],
			maximumTokens: 3,
			priority: Priority.Normal,
			headers: {},
		}, {
			onFrames() {
				resolve(performance.now() - startedAt);
				handle.close();
			},
			onClosed: () => undefined,
		});
	});
}

/** Measures the CPU time for each relayed token, and the latency that the router adds to the first token. */
export async function measureRelay(): Promise<Report> {
	const measurement = new MeasurementCluster({limits: {streams: '1000', token_gap: '2 s'}}); // eslint-disable-line @typescript-eslint/naming-convention
	const {cluster} = measurement;
	try {
		await cluster.startPlatform();
		await Promise.all([1, 2, 3].map(async number => cluster.startEngine(engineSettingsSchema.parse({
			id: `engine-${number}`, firstLayer: 0, endLayer: 24, layers: 24, step: 3, decode: 0.01, batch: 64, tokenRate: 10_000,
		}))));
		await measurement.startEntries(1);
		await measurement.waitForRoutes();
		const direct = new Durations();
		const routed = new Durations();
		for (let number = 0; number < probeCount; number++) {
			direct.add(await measureDirectFirstToken(measurement, number)); // eslint-disable-line no-await-in-loop
			const startedAt = performance.now();
			const {arrivals} = await requestCompletion({ // eslint-disable-line no-await-in-loop
				callerAddress: cluster.entries[0].callerAddress, key: measurement.key, model: 'findings', prompt: `routed ${number} [3 tokens]`, maximumTokens: 3,
			});
			routed.add((arrivals[0] ?? startedAt) - startedAt);
		}

		const points: Array<readonly [number, number]> = [];
		const rows: Array<Array<string | number>> = [];
		for (const streams of streamCounts) {
			const {tokens, cpu} = await measureRelayedTokens(measurement, streams); // eslint-disable-line no-await-in-loop
			points.push([tokens, cpu]);
			rows.push([streams, round(tokens, 0), round(cpu / 10_000, 1), round(cpu / tokens, 1)]);
		}

		const {slope, base} = fitLine(points);
		const cpuPercent = round((base + (slope * targetTokensPerSecond)) / 10_000, 0);
		rows.push([`slope, at ${targetTokensPerSecond} tokens/s`, targetTokensPerSecond, cpuPercent, round(slope, 1)]);
		return {
			header: ['streams', 'tokens/s', 'CPU % of a core', 'microseconds a token'],
			rows,
			figures: {
				microsecondsPerToken: round(slope, 2),
				cpuPercentAtTarget: cpuPercent,
				direct: direct.percentiles(),
				routed: routed.percentiles(),
				addedP50: round(routed.percentiles().p50 - direct.percentiles().p50),
				addedP95: round(routed.percentiles().p95 - direct.percentiles().p95),
			},
		};
	} finally {
		await measurement.stop();
	}
}
