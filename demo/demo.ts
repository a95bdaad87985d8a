import {readFileSync} from 'node:fs';
import {join} from 'node:path';
import process from 'node:process';
import got from 'got';
import OpenAI from 'openai';
import {Cluster, readControl, type EntryProcess} from '../harness/cluster.js';
import {runCommand} from '../harness/run-command.js';
import {computeExpectedAnswer} from '../simulators/answers.js';
import {drawTrace, traceLineSchema} from './trace-tree.js';

const sheet = new URL('../../samples/lakeshore.csv', import.meta.url).pathname;
const key = 'sk-sn-sample-inspectors-north';
const actionKey = 'recheck-2026-12-04-0017';
const traceFlushMs = 700;

function printStep(step: string, text: string): void {
	console.log(`demo: ${step.padEnd(12)} ${text}`);
}

function assertTrue(isTrue: boolean, reason: string): void {
	if (!isTrue) {
		throw new Error(reason);
	}
}

async function runOperatorCommand(entry: EntryProcess, ...parameters: readonly string[]): Promise<string> {
	const {code, output, errors} = await runCommand(entry.peerAddress, parameters);
	assertTrue(code === 0, `siskinnotch ${parameters.join(' ')} ended with exit code ${code}: ${errors}`);
	return output;
}

async function startAll(cluster: Cluster): Promise<void> {
	await cluster.startPlatform();
	printStep('platform', `listens at ${cluster.platformAddress}`);
	await Promise.all([[0, 8], [8, 16], [16, 24]].map(async ([firstLayer, endLayer]) => cluster.startEngine({
		id: `engine-${firstLayer}`, firstLayer, endLayer, layers: 24,
	})));
	printStep('engines', cluster.backends.map(({id, address}) => `${id} at ${address}`).join(', '));
	const records = await cluster.startRecords('records-1');
	printStep('records', `${records.id} listens at ${records.address}`);
	await cluster.startEntry('entry-a');
	await cluster.startEntry('entry-b');
	printStep('entries', cluster.entries.map(({id, callerAddress}) => `${id} at ${callerAddress}`).join(', '));
}

async function submitSheet(cluster: Cluster): Promise<void> {
	const [first] = cluster.entries;
	printStep('sheet', await runOperatorCommand(first, 'sheet', 'submit', sheet, '--seen', '0', '--planner', 'demo'));
	await cluster.waitFor(async () => {
		const versions = await Promise.all(cluster.entries.map(async entry => cluster.readMetric(entry, 'siskinnotch_configuration_version')));
		return versions.every(version => version === 1);
	});
	printStep('sheet', 'version 1 is in force at both entry instances');
	await cluster.waitFor(async () => {
		const routes = await Promise.all(cluster.entries.map(async entry => cluster.createOperatorClient(entry).explainRoute.query({model: 'findings'})));
		return routes.every(({route}) => route.length === 3);
	});
	const explained = await runOperatorCommand(first, 'route', 'explain', 'findings');
	printStep('route', explained.split('\n')[1]);
}

async function completeText(entry: EntryProcess): Promise<string> {
	const client = new OpenAI({apiKey: key, baseURL: `http://${entry.callerAddress}/v1`, maxRetries: 0}); // eslint-disable-line @typescript-eslint/naming-convention
	const question = 'Draft the findings for the climbing frame at Lincoln Park: loose ladder rung, worn surfacing.';
	const {data: stream, response} = await client.chat.completions.create({
		model: 'findings', messages: [{role: 'user', content: question}], stream: true, max_completion_tokens: 64, // eslint-disable-line @typescript-eslint/naming-convention
	}).withResponse();
	let text = '';
	let finish = '';
	for await (const chunk of stream) {
		text += chunk.choices[0]?.delta.content ?? '';
		finish = chunk.choices[0]?.finish_reason ?? finish;
	}

	const expected = computeExpectedAnswer(`user: ${question}`, 64);
	assertTrue(text === expected.tokens.join(''), `${entry.id}: the answer differs from the expected one: ${text}`);
	assertTrue(finish === String(expected.finish), `${entry.id}: the answer ended with finish reason ${finish}`);
	printStep('draft', `${entry.id} streamed ${expected.tokens.length} tokens, the complete answer, finish reason ${finish}`);
	return response.headers.get('x-request-id') ?? '';
}

async function bookRecheck(cluster: Cluster): Promise<void> {
	const answers = [];
	for (const entry of cluster.entries) {
		// eslint-disable-next-line no-await-in-loop
		const answer = await got.post(`http://${entry.callerAddress}/v1/services/records/book-recheck`, {
			json: {park: 'Lincoln Park', on: '2026-12-11'},
			headers: {authorization: `Bearer ${key}`, 'idempotency-key': actionKey},
			retry: {limit: 0},
		});
		answers.push(answer.body);
		printStep('recheck', `${entry.id} answered ${answer.statusCode} ${answer.body}`);
	}

	assertTrue(answers[0] === answers[1], 'the two answers differ');
	const records = cluster.backends.find(({id}) => id === 'records-1')!;
	const {executions} = await readControl<{executions: Record<string, number>}>(records.address, 'executions');
	assertTrue(executions[actionKey] === 1, `the recheck was booked ${executions[actionKey]} times`);
	printStep('recheck', 'requested twice, booked once');
	printStep('lookup', await runOperatorCommand(cluster.entries[1], 'action', 'lookup', actionKey, '--workspace', 'inspectors-north'));
}

async function showTrace(cluster: Cluster, request: string): Promise<void> {
	await cluster.timers.sleep(traceFlushMs);
	const lines = cluster.entries.flatMap(({id}) => readFileSync(join(cluster.directory, `${id}.traces`), 'utf8').trim().split('\n'));
	const spans = lines.filter(line => line !== '').map(line => traceLineSchema.parse(JSON.parse(line)));
	const tree = drawTrace(spans, request);
	assertTrue(tree.length >= 6, `the trace of ${request} has ${tree.length} spans`);
	printStep('trace', `of request ${request}`);
	for (const line of tree) {
		console.log(`  ${line}`);
	}
}

async function stopEntries(cluster: Cluster): Promise<void> {
	const [first, second] = cluster.entries;
	printStep('drain', await runOperatorCommand(first, 'instance', 'drain'));
	second.program.sendSignal('SIGTERM');
	const codes = await Promise.all(cluster.entries.map(async ({program}) => program.waitForExit()));
	assertTrue(codes.every(code => code === 0), `the entry instances ended with exit codes ${codes.join(' and ')}`);
	printStep('stop', 'both entry instances ended with exit code 0');
	for (const {id, address} of cluster.backends.filter(({id: name}) => name.startsWith('engine'))) {
		const {violations} = await readControl<{violations: string[]}>(address, 'checks'); // eslint-disable-line no-await-in-loop
		assertTrue(violations.length === 0, `${id}: ${violations.join('; ')}`);
	}

	printStep('layers', 'each layer ran exactly once for each token, in order');
}

const cluster = new Cluster({stop: {notice: '300 ms'}});
try {
	await startAll(cluster);
	await submitSheet(cluster);
	const requests = [];
	for (const entry of cluster.entries) {
		requests.push(await completeText(entry)); // eslint-disable-line no-await-in-loop
	}

	await bookRecheck(cluster);
	const usage = await runOperatorCommand(cluster.entries[0], 'workspace', 'usage');
	printStep('usage', usage.split('\n').join(' | '));
	await showTrace(cluster, requests[0]);
	await stopEntries(cluster);
	await cluster.stop();
	console.log('demo: ok');
	process.exit(0);
} catch (error) {
	console.error(`demo: failed: ${error instanceof Error ? error.message : 'unknown'}`);
	await cluster.stop();
	process.exit(1);
}
