import test, {type ExecutionContext} from 'ava';
import {
	type BackendProcess, type Cluster, postControl, readControl,
} from '../harness/cluster.js';
import {requestCompletion, CompletionOutcome, type CompletionResult} from '../harness/completion-caller.js';
import {InstanceState} from '../src/store/instance-state.js';
import {getApiKey} from '../harness/sheet-text.js';
import {startCluster} from './support/start-cluster.js';

type Checks = {
	readonly violations: readonly string[];
	readonly lateStarts: readonly number[];
	readonly counts: {readonly attempts: number; readonly cancelled: number};
};

async function withCluster(work: (cluster: Cluster) => Promise<void>, engines = 2): Promise<void> {
	const cluster = await startCluster({entries: 1, engines, records: 0});
	try {
		await work(cluster);
	} finally {
		await cluster.stop();
	}
}

async function sendPrompt(cluster: Cluster, prompt: string, abandonAfter?: number, entry = 0): Promise<CompletionResult> {
	return requestCompletion({
		callerAddress: cluster.entries[entry].callerAddress, key: getApiKey('large'), model: 'findings', prompt, maximumTokens: 400, abandonAfter,
	});
}

function createPrompt(index: number): string {
	return `draft ${index} [120 tokens]`;
}

/** Runs completions, injects a fault while they are in progress, and expects that every answer is complete and that each layer ran once per token. */
async function expectCompleteAnswers(t: ExecutionContext, cluster: Cluster, fault: (engine: BackendProcess) => Promise<void>, stage = 1): Promise<void> {
	const results = Promise.all(Array.from({length: 8}, async (_, index) => sendPrompt(cluster, createPrompt(index))));
	await cluster.timers.sleep(500);
	await fault(cluster.backends.find(({id}) => id === `engine-${stage * 8}a`)!);
	for (const result of await results) {
		t.is(result.outcome, CompletionOutcome.Complete, `${result.code} ${result.mismatch}`);
	}

	for (const program of cluster.backends.map(backend => backend.program)) {
		t.deepEqual(program.errorLines.filter(line => line.startsWith('engine ')), []);
	}
}

for (const [stage, name] of ['first', 'middle', 'last'].entries()) {
	test.serial(`the ${name} stage is killed: every answer is complete`, async t => {
		await withCluster(async cluster => {
			await expectCompleteAnswers(t, cluster, async engine => engine.program.kill(), stage);
		});
	});

	test.serial(`the ${name} stage is frozen: every answer is complete`, async t => {
		await withCluster(async cluster => {
			await expectCompleteAnswers(t, cluster, async engine => {
				engine.program.sendSignal('SIGSTOP');
			}, stage);
		});
	});
}

test.serial('all connections of the last stage become silent: every answer is complete', async t => {
	await withCluster(async cluster => {
		await expectCompleteAnswers(t, cluster, async engine => postControl(engine.address, 'faults', {muteConnections: true}), 2);
	});
});

test.serial('the connections of the last stage are reset: the running attempts continue over new connections', async t => {
	await withCluster(async cluster => {
		await expectCompleteAnswers(t, cluster, async engine => postControl(engine.address, 'faults', {resetConnections: true}), 2);
		t.true(await cluster.readMetric(cluster.entries[0], 'siskinnotch_attaches_total') > 0);
	}, 1);
});

test.serial('a link slows down a hundredfold, by 100 ms: every answer is complete', async t => {
	await withCluster(async cluster => {
		await expectCompleteAnswers(t, cluster, async engine => {
			const linkDelays = Object.fromEntries(cluster.backends.map(({id}) => [id, 100]));
			await postControl(engine.address, 'faults', {linkDelays});
		});
	});
});

// Guards against answers that are lost because their silent attempts were cancelled for a server that refuses them.
test.serial('the last stage is frozen for a second while the other server refuses new attempts: every answer is complete', async t => {
	await withCluster(async cluster => {
		const lastStages = cluster.backends.filter(({id}) => id.startsWith('engine-16'));
		const other = lastStages.find(({id}) => id === 'engine-16b')!;
		await expectCompleteAnswers(t, cluster, async engine => {
			await cluster.waitFor(async () => await countAttempts(lastStages) === 8);
			await postControl(other.address, 'faults', {refusesAttempts: true});
			engine.program.sendSignal('SIGSTOP');
			await cluster.timers.sleep(1000);
			engine.program.sendSignal('SIGCONT');
			await cluster.timers.sleep(200);
			await postControl(other.address, 'faults', {refusesAttempts: false});
		}, 2);
		t.true(await cluster.readMetric(cluster.entries[0], 'siskinnotch_attempts_replaced_total') > 0);
	});
});

async function countAttempts(engines: readonly BackendProcess[]): Promise<number> {
	const checks = await Promise.all(engines.map(async ({address}) => readControl<Checks>(address, 'checks')));
	return checks.reduce((sum, {counts}) => sum + counts.attempts, 0);
}

test.serial('without a replacement server the stream ends with an explicit error and never as if it were complete', async t => {
	await withCluster(async cluster => {
		const running = sendPrompt(cluster, createPrompt(1));
		await cluster.timers.sleep(500);
		await cluster.backends.find(({id}) => id === 'engine-8a')!.program.kill();
		const result = await running;
		t.is(result.outcome, CompletionOutcome.Interrupted);
		t.is(result.code, 'StreamInterrupted');
		t.is(result.execution, 'unknown');
		t.true(result.retryAfter > 0);
	}, 1);
});

test.serial('the caller goes away: the attempt is cancelled at all engines within a second', async t => {
	await withCluster(async cluster => {
		await sendPrompt(cluster, 'draft [390 tokens]', 5);
		await cluster.waitFor(async () => {
			const checks = await Promise.all(cluster.backends.map(async ({address}) => readControl<Checks>(address, 'checks')));
			return checks.every(({counts}) => counts.cancelled === 1);
		}, 1000);
		t.is(await cluster.readMetric(cluster.entries[0], 'siskinnotch_drafts'), 0);
	}, 1);
});

test.serial('a leaving server receives no new requests once the list shows it, and soon after if only its own report shows it', async t => {
	await withCluster(async cluster => {
		const [first, second] = ['engine-0a', 'engine-0b'].map(id => cluster.backends.find(backend => backend.id === id)!);
		await cluster.updateInstanceList([{...first.listed, state: InstanceState.Leaving}]);
		await cluster.timers.sleep(5000);
		await postControl(first.address, 'faults', {isLeaving: true});
		for (let index = 0; index < 20; index++) {
			const {outcome} = await sendPrompt(cluster, `short ${index} [3 tokens]`); // eslint-disable-line no-await-in-loop
			t.is(outcome, CompletionOutcome.Complete);
		}

		await cluster.updateInstanceList([first.listed]);
		await postControl(first.address, 'faults', {isLeaving: false});
		await postControl(cluster.platformAddress, 'faults', {isDown: true});
		await cluster.timers.sleep(2500);
		await postControl(second.address, 'faults', {isLeaving: true});
		await cluster.timers.sleep(5000);
		const starts = await countLateStarts(second);
		for (let index = 0; index < 20; index++) {
			await sendPrompt(cluster, `later ${index} [3 tokens]`); // eslint-disable-line no-await-in-loop
		}

		t.is(await countLateStarts(first), 0);
		t.is(await countLateStarts(second), starts, 'the platform is down, so only the server itself reports that it is leaving');
	});
});

async function countLateStarts({address}: BackendProcess): Promise<number> {
	const checks = await readControl<Checks>(address, 'checks');
	return checks.lateStarts.length;
}

test.serial('entry instances are stopped in turn under load: no request fails', async t => {
	const cluster = await startCluster({entries: 2, engines: 1, records: 0});
	try {
		const state = {isOver: false};
		const results: CompletionResult[] = [];
		const callers = Array.from({length: 6}, async (_, caller) => {
			for (let index = 0; !state.isOver; index++) {
				const ready = await Promise.all(cluster.entries.map(async entry => cluster.isResponding(entry, 'ready'))); // eslint-disable-line no-await-in-loop
				results.push(await sendPrompt(cluster, `stop ${caller} ${index} [60 tokens]`, undefined, ready.lastIndexOf(true))); // eslint-disable-line no-await-in-loop
			}
		});
		for (const entry of [cluster.entries[1], cluster.entries[0], cluster.entries[1]]) {
			await cluster.timers.sleep(500); // eslint-disable-line no-await-in-loop
			entry.program.sendSignal('SIGTERM');
			t.is(await entry.program.waitForExit(), 0); // eslint-disable-line no-await-in-loop
			await cluster.restartEntry(entry); // eslint-disable-line no-await-in-loop
			await cluster.waitFor(async () => cluster.isResponding(entry, 'ready')); // eslint-disable-line no-await-in-loop
			await cluster.timers.sleep(1200); // eslint-disable-line no-await-in-loop
		}

		state.isOver = true;
		await Promise.all(callers);
		t.true(results.length > 10);
		t.deepEqual(results.filter(({outcome}) => outcome !== CompletionOutcome.Complete).map(({outcome, code, tokens}) => `${outcome} ${code} ${tokens}`), []);
	} finally {
		await cluster.stop();
	}
});
