import {readFileSync} from 'node:fs';
import anyTest, {type TestFn} from 'ava';
import got, {type Response} from 'got';
import OpenAI, {APIError} from 'openai';
import {type Cluster, readControl} from '../harness/cluster.js';
import {callOperation} from '../harness/plain-caller.js';
import {ResultCode} from '../src/results/result-code.js';
import {resultTable} from '../src/results/result-table.js';
import {computeExpectedAnswer} from '../simulators/answers.js';
import {getApiKey} from '../harness/sheet-text.js';
import {startCluster} from './support/start-cluster.js';

const test = anyTest as TestFn<{cluster: Cluster; callers: string}>; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion

test.before(async t => {
	const cluster = await startCluster({entries: 1, engines: 1, records: 1}, {limits: {body: '20 kB'}});
	t.context = {cluster, callers: cluster.entries[0].callerAddress};
});

test.after.always(async t => {
	await t.context.cluster.stop();
});

function createClient(callers: string): OpenAI {
	return new OpenAI({apiKey: getApiKey('large'), baseURL: `http://${callers}/v1`, maxRetries: 0}); // eslint-disable-line @typescript-eslint/naming-convention
}

test('the OpenAI client receives a complete response, streamed and not streamed', async t => {
	const client = createClient(t.context.callers);
	const messages = [{role: 'user' as const, content: 'Summarise the repair of the slide.'}];
	const expected = computeExpectedAnswer(`user: ${messages[0].content}`, 40);
	const whole = await client.chat.completions.create({model: 'findings', messages, max_completion_tokens: 40}); // eslint-disable-line @typescript-eslint/naming-convention
	t.is(whole.choices[0].message.content, expected.tokens.join(''));
	t.is(whole.choices[0].finish_reason, expected.finish);
	t.is(whole.usage?.completion_tokens, expected.tokens.length);
	const stream = await client.chat.completions.create({
		model: 'findings', messages, max_completion_tokens: 40, stream: true, stream_options: {include_usage: true}, // eslint-disable-line @typescript-eslint/naming-convention
	});
	let text = '';
	let tokens = 0;
	for await (const chunk of stream) {
		text += chunk.choices[0]?.delta.content ?? '';
		tokens = chunk.usage?.completion_tokens ?? tokens;
	}

	t.is(text, expected.tokens.join(''));
	t.is(tokens, expected.tokens.length);
});

test('the OpenAI client lists the models of the workspace', async t => {
	const models = await createClient(t.context.callers).models.list();
	t.deepEqual(models.data.map(({id}) => id), ['findings']);
});

test('the OpenAI client receives a rejection as an error with its code', async t => {
	const error = await t.throwsAsync(createClient(t.context.callers).chat.completions.create({model: 'nothing', messages: [{role: 'user', content: 'x'}]}), {instanceOf: APIError});
	t.is(error?.status, 404);
	t.is(error?.code, 'ModelUnknown');
});

type CallOptions = {
	readonly path?: string;
	readonly body?: string;
	readonly headers?: Readonly<Record<string, string>>;
};

const chat = {model: 'findings', messages: [{role: 'user', content: 'x'}]};
const chatPath = 'chat/completions';
const actionPath = 'services/records/book-recheck';

async function call(callers: string, {path = chatPath, body = JSON.stringify(chat), headers = {}}: CallOptions): Promise<Response<string>> {
	return got.post(`http://${callers}/v1/${path}`, {
		body, headers: {authorization: `Bearer ${getApiKey('large')}`, ...headers}, retry: {limit: 0}, throwHttpErrors: false,
	});
}

const rejections: ReadonlyArray<[title: string, options: CallOptions, code: ResultCode]> = [
	['malformed JSON', {body: '{"model":'}, ResultCode.BodyMalformed],
	['a body without the required fields', {body: '{"model":"findings"}'}, ResultCode.BodyMalformed],
	['an empty list of messages', {body: JSON.stringify({...chat, messages: []})}, ResultCode.BodyMalformed],
	['too many tokens', {body: JSON.stringify({...chat, max_tokens: 100_000})}, ResultCode.BodyMalformed], // eslint-disable-line @typescript-eslint/naming-convention
	['an oversized body', {body: JSON.stringify({...chat, padding: 'x'.repeat(30_000)})}, ResultCode.BodyTooLarge],
	['an unknown model', {body: JSON.stringify({...chat, model: 'poems'})}, ResultCode.ModelUnknown],
	['a wrong key', {headers: {authorization: 'Bearer sk-sn-wrong'}}, ResultCode.KeyUnknown],
	['no key', {headers: {authorization: ''}}, ResultCode.KeyMissing],
	['no grant', {headers: {authorization: `Bearer ${getApiKey('outsider')}`}}, ResultCode.ServiceNotGranted],
	['a deadline in the past', {headers: {'x-deadline-ms': '-5'}}, ResultCode.DeadlinePassed],
	['a deadline that is not a number', {headers: {'x-deadline-ms': 'soon'}}, ResultCode.DeadlineInvalid],
	['an unknown priority', {headers: {'x-priority': 'urgent'}}, ResultCode.PriorityInvalid],
	['an unknown operation', {path: 'services/records/burn'}, ResultCode.OperationUnknown],
	['an unknown service', {path: 'services/kitchen/cook'}, ResultCode.OperationUnknown],
	['a missing Idempotency-Key', {path: actionPath}, ResultCode.IdempotencyKeyMissing],
	['an Idempotency-Key that is too long', {path: actionPath, headers: {'idempotency-key': 'k'.repeat(256)}}, ResultCode.IdempotencyKeyInvalid],
	['an empty Idempotency-Key', {path: actionPath, headers: {'idempotency-key': ''}}, ResultCode.IdempotencyKeyInvalid],
	['an action with malformed JSON', {path: actionPath, body: 'no', headers: {'idempotency-key': 'k'}}, ResultCode.BodyMalformed],
	['an unknown path', {path: 'poems'}, ResultCode.PathUnknown],
];

for (const [title, options, code] of rejections) {
	test(`${title} is rejected with its result code, as not run`, async t => {
		const response = await call(t.context.callers, options);
		const {error} = JSON.parse(response.body) as {error: {code: string; number: number; execution: string}}; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		t.is(error.code, ResultCode[code]);
		t.is(error.number, code);
		t.is(error.execution, 'not_run');
		t.is(response.statusCode, resultTable[code].status);
	});
}

test('a repeated action runs once, a different body is a conflict, and a lookup finds the action', async t => {
	const {callers, cluster} = t.context;
	const headers = {authorization: `Bearer ${getApiKey('large')}`, 'idempotency-key': 'twice'};
	const first = await callOperation(callers, 'records/book-recheck', headers, {park: 1});
	const second = await callOperation(callers, 'records/book-recheck', headers, {park: 1});
	t.is(first.execution, 'run');
	t.is(second.body, first.body);
	const other = await callOperation(callers, 'records/book-recheck', headers, {park: 2});
	t.is(other.code, 'ActionConflict');
	const lookUp = await got(`http://${callers}/v1/actions/twice`, {headers, retry: {limit: 0}}).json<{state: string}>();
	t.is(lookUp.state, 'done');
	const {executions} = await readControl<{executions: Record<string, number>}>(cluster.backends.at(-1)!.address, 'executions');
	t.is(executions.twice, 1);
});

test('the trace context of a caller reaches the backend servers', async t => {
	const {callers, cluster} = t.context;
	const trace = 'f'.repeat(32);
	await callOperation(callers, 'records/site-history', {authorization: `Bearer ${getApiKey('large')}`, traceparent: `00-${trace}-${'e'.repeat(16)}-01`}, {});
	const {traces} = await readControl<{traces: readonly string[]}>(cluster.backends.at(-1)!.address, 'executions');
	t.true(traces.some(parent => parent.includes(trace)));
});

test('no key appears in the logs', t => {
	t.false(t.context.cluster.entries[0].program.errorLines.some(line => line.includes('sk-sn-')));
});

test('docs/RESULT-CODES.md lists every result code as defined in the result table', t => {
	const page = readFileSync('docs/RESULT-CODES.md', 'utf8');
	for (const [name, code] of Object.entries(ResultCode).filter(([, value]) => typeof value === 'number')) {
		const {status, exitCode, meaning, retryAfterSeconds} = resultTable[Number(code) as ResultCode];
		const row = `| ${Number(code)} | ${name} | ${status} | ${exitCode} | ${retryAfterSeconds ?? ''} | ${meaning} |`;
		t.true(page.includes(row), row);
	}
});
