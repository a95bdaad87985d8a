import {type BackendProcess, type Cluster, postControl} from '../harness/cluster.js';
import {requestCompletion, CompletionOutcome, type CompletionResult} from '../harness/completion-caller.js';
import {type EngineSettings} from '../simulators/engine-settings.js';
import {RandomSource} from '../src/routing/random-source.js';
import {layers} from './fleet-plan.js';
import {Durations, type Report, round} from './report.js';
import {MeasurementCluster} from './measurement-cluster.js';

const streams = 36;
const answerLength = 900;
const warmUpMs = 3000;
const observationMs = 6000;
const affectedThresholdMs = 100;
const binMs = 250;
const recoveredShare = 0.9;
const repetitions = 2;

/** A fault that is injected once while streams run. */
type Fault = {
	readonly name: string;
	readonly run: (cluster: Cluster, random: RandomSource) => Promise<void>;
};

function pickEngine(cluster: Cluster, random: RandomSource, stage: number): BackendProcess {
	return random.pick(cluster.backends.filter(({id}) => id.startsWith(`engine-${stage}-`)));
}

const faults: readonly Fault[] = [
	{
		name: 'killed',
		async run(cluster, random) {
			await pickEngine(cluster, random, random.nextInteger(3)).program.kill();
		},
	},
	{
		name: 'frozen',
		async run(cluster, random) {
			pickEngine(cluster, random, random.nextInteger(3)).program.sendSignal('SIGSTOP');
		},
	},
	{
		name: 'link degraded a hundredfold',
		async run(cluster, random) {
			const engine = pickEngine(cluster, random, random.nextInteger(2));
			await postControl(engine.address, 'faults', {linkDelays: Object.fromEntries(cluster.backends.map(({id}) => [id, 100]))});
		},
	},
	{
		name: 'a third of the stages lost',
		async run(cluster) {
			await Promise.all([0, 1, 2].map(async stage => cluster.backends.find(({id}) => id === `engine-${stage}-0`)!.program.kill()));
		},
	},
	{
		name: 'connections silent',
		async run(cluster, random) {
			await postControl(pickEngine(cluster, random, 2).address, 'faults', {muteConnections: true});
		},
	},
];

type Outcome = {
	readonly recovery: Durations;
	readonly fullRecovery: Durations;
	counts: {affected: number; whole: number; interrupted: number; wrong: number};
};

/** Returns the longest gap between tokens in milliseconds, counted from the fault on, among the gaps that end after the fault and start before the end of the observation. */
function findLongestGap(arrivals: readonly number[], faultAt: number): number {
	let longest = 0;
	for (const [index, at] of arrivals.entries()) {
		const before = arrivals[index - 1] ?? at;
		if (at > faultAt && before < faultAt + observationMs) {
			longest = Math.max(longest, at - Math.max(before, faultAt));
		}
	}

	return longest;
}

/** Computes the milliseconds from the fault until the token rate of all callers stays at 90 % or more of the rate in the second before the fault. */
function computeFullRecoveryMs(results: readonly CompletionResult[], faultAt: number): number {
	const counts = new Map<number, number>();
	for (const at of results.flatMap(({arrivals}) => arrivals)) {
		const bin = Math.floor((at - faultAt) / binMs);
		counts.set(bin, (counts.get(bin) ?? 0) + 1);
	}

	let before = 0;
	for (let bin = -4; bin < 0; bin++) {
		before += (counts.get(bin) ?? 0) / 4;
	}

	let last = -1;
	for (let bin = 0; bin < observationMs / binMs; bin++) {
		if ((counts.get(bin) ?? 0) < before * recoveredShare) {
			last = bin;
		}
	}

	return (last + 1) * binMs;
}

async function runOnce(seed: number, {run}: Fault, outcome: Outcome): Promise<void> {
	const measurement = new MeasurementCluster({limits: {deadline: '60 s'}});
	const {cluster} = measurement;
	const random = new RandomSource(seed);
	try {
		await cluster.startPlatform();
		const settings = [0, 1, 2].flatMap(range => [0, 1, 2].map((index): Partial<EngineSettings> & Pick<EngineSettings, 'id' | 'firstLayer' | 'endLayer' | 'layers'> => ({
			id: `engine-${range}-${index}`, firstLayer: range * 8, endLayer: (range + 1) * 8, layers, step: 3, decode: 0.1, tokenRate: 5000,
		})));
		await Promise.all(settings.map(async one => cluster.startEngine(one)));
		await measurement.startEntries(2);
		await measurement.waitForRoutes();
		const running = Promise.all(Array.from({length: streams}, async (_, index) => requestCompletion({
			callerAddress: cluster.entries[index % 2].callerAddress, key: measurement.key, model: 'findings', prompt: `${index} [${answerLength} tokens]`, maximumTokens: answerLength,
		})));
		await cluster.timers.sleep(warmUpMs);
		const faultAt = performance.now();
		await run(cluster, random);
		const results = await running;
		for (const {arrivals, outcome: callOutcome} of results) {
			const wait = findLongestGap(arrivals, faultAt);
			if (wait > affectedThresholdMs) {
				outcome.recovery.add(wait);
				outcome.counts.affected++;
			}

			outcome.counts.whole += callOutcome === CompletionOutcome.Complete ? 1 : 0;
			outcome.counts.interrupted += callOutcome === CompletionOutcome.Interrupted || callOutcome === CompletionOutcome.Refused ? 1 : 0;
			outcome.counts.wrong += callOutcome === CompletionOutcome.Incorrect ? 1 : 0;
		}

		outcome.fullRecovery.add(computeFullRecoveryMs(results, faultAt));
	} finally {
		await measurement.stop();
	}
}

/** Measures the time from a fault to the next token at the affected callers, and to full throughput. */
export async function measureRecovery(seed: number): Promise<Report> {
	const rows: Array<Array<string | number>> = [];
	const figures: Record<string, unknown> = {targetMs: 640};
	for (const fault of faults) {
		const outcome: Outcome = {
			recovery: new Durations(), fullRecovery: new Durations(), counts: {
				affected: 0, whole: 0, interrupted: 0, wrong: 0,
			},
		};
		for (let repetition = 0; repetition < repetitions; repetition++) {
			await runOnce(seed + repetition, fault, outcome); // eslint-disable-line no-await-in-loop
		}

		const recovery = outcome.recovery.percentiles();
		const full = outcome.fullRecovery.percentiles();
		const {affected, whole, interrupted, wrong} = outcome.counts;
		rows.push([fault.name, affected, recovery.p50, recovery.p95, recovery.p99, round(full.p95, 0), whole, interrupted, wrong]);
		figures[fault.name] = {recovery, fullMs: full.p95, ...outcome.counts};
	}

	return {header: ['fault', 'affected', 'p50 ms', 'p95 ms', 'p99 ms', 'full ms', 'whole', 'interrupted', 'wrong'], rows, figures};
}
