import {execFileSync} from 'node:child_process';
import {once} from 'node:events';
import {connect} from 'node:net';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import test, {type ExecutionContext} from 'ava';
import {getApiKey} from '../harness/sheet-text.js';
import {bodyLimit, lockCrowds} from './support/body-crowd.js';
import {CallerCrowd, CrowdKind} from './support/caller-crowd.js';
import {countDescriptors, readPeakMemory} from './support/process-memory.js';
import {createSiteConfiguration, RouterProcess} from './support/router-process.js';
import {startCluster} from './support/start-cluster.js';

const megabyte = 1_000_000;
/** The smallest machine that the router runs on. */
const routerMachine = {memory: 112 * megabyte, descriptors: 2870};
/** The smallest machine for an instance of the own interface, whose runtime alone occupies more than a bundled router. */
const ownMachine = {memory: 202 * megabyte, descriptors: 2870};
const ownLimits = {
	memory: `${ownMachine.memory / megabyte} MB`, open_files: String(ownMachine.descriptors), // eslint-disable-line @typescript-eslint/naming-convention
};
const connections = 1300;
const routeTimeout = 15_000;
/** Bodies that stop are held for at least this time in milliseconds after the last byte. */
const holdMs = 1500;
const heapLimit = '--max-old-space-size=200';
const routerHead = 'POST /lookups/crowd HTTP/1.1\r\nHost: site.example\r\nSiskinnotch-Attempt-Id: crowd\r\nSiskinnotch-Deadline-Remaining: 15000\r\nX-Api-Key: key-1\r\n';
const ownHead = `POST /v1/services/records/site-history HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ${getApiKey('large')}\r\n`;

test.before(() => {
	execFileSync('npm', ['run', '--silent', 'bundle'], {cwd: fileURLToPath(new URL('../..', import.meta.url)), stdio: 'inherit'});
});

/** Starts the bundled router with the limits of the smallest machine. */
async function startRouter(t: ExecutionContext): Promise<RouterProcess> {
	await lockCrowds(t);
	const router = new RouterProcess();
	router.isBundled = true;
	await router.startSimulators();
	t.teardown(async () => router.stop());
	router.changeSettings(`[limits]\nmemory = ${routerMachine.memory / megabyte} MB\nopen_files = ${routerMachine.descriptors}\n`);
	const configuration = createSiteConfiguration(4);
	router.store.putRow('op', 'config', {
		...configuration,
		limits: {...configuration.limits, maxBodyBytes: bodyLimit},
		routes: configuration.routes.map(route => ({...route, timeoutMs: routeTimeout})),
	});
	await router.startRouter();
	await router.waitUntil(() => router.stages.every(({range}) => range !== null));
	return router;
}

/** Sends bytes on a connection of its own; resolves to the beginning of the reply. */
async function exchange(port: number, parts: readonly string[]): Promise<string> {
	const socket = connect(port, '127.0.0.1');
	try {
		socket.setEncoding('latin1');
		const reply = once(socket, 'data', {signal: AbortSignal.timeout(routeTimeout * 2)});
		for (const part of parts) {
			socket.write(part);
		}

		const received: unknown[] = await reply;
		return String(received[0]);
	} finally {
		socket.destroy();
	}
}

const chunkBatch = 65_536;
const fieldCount = 1500;
const largest: ReadonlyArray<[request: string, parts: readonly string[]]> = [
	['body', [`${routerHead}Content-Length: ${bodyLimit}\r\n\r\n`, '#'.repeat(bodyLimit)]],
	['body in chunks of one byte', [
		`${routerHead}Transfer-Encoding: chunked\r\n\r\n`,
		...Array.from({length: bodyLimit / chunkBatch}, () => '1\r\n#\r\n'.repeat(chunkBatch)),
		'0\r\n\r\n',
	]],
	['field', [`${routerHead}Content-Length: 1\r\nX-Large: ${'#'.repeat(16_000)}\r\n\r\nx`]],
	['number of fields', [`${routerHead}Content-Length: 1\r\n${Array.from({length: fieldCount}, (_, index) => `x${index.toString(36)}:1\r\n`).join('')}\r\nx`]],
];
for (const [name, parts] of largest) {
	// Guards against bounds for crowds that a single request inside the limits of the configuration meets.
	test.serial(`a single request with the largest ${name} is served on the smallest machine`, async t => {
		const router = await startRouter(t);
		t.regex(await exchange(router.callersPort, parts), /^HTTP\/1\.1 200 /v);
		t.log(`${Math.round(router.peakMemory / megabyte)} MB`);
		t.true(router.peakMemory < routerMachine.memory, `${Math.round(router.peakMemory / megabyte)} MB`);
	});
}

for (const kind of Object.values(CrowdKind)) {
	// Guards against callers that end a process, or the requests of other callers, by what they make it hold.
	test.serial(`${kind}, on many connections: the router lives within the smallest machine and answers an ordinary request`, async t => {
		const router = await startRouter(t);
		const crowd = new CallerCrowd(router.callersPort, routerHead, 'Host: site.example\r\n');
		t.teardown(() => {
			crowd.close();
		});
		await crowd.send(kind, connections);
		await router.timers.sleep(holdMs);
		t.true(router.isRunning, 'the process has ended');
		t.log(`${Math.round(router.peakMemory / megabyte)} MB, ${router.descriptors} descriptors`);
		t.true(router.peakMemory < routerMachine.memory, `${Math.round(router.peakMemory / megabyte)} MB`);
		t.true(router.descriptors < routerMachine.descriptors, `${router.descriptors} descriptors`);
		t.is(await router.sendForStatus('/lookups/ordinary', {leaveAfter: routeTimeout}).catch(() => 0), 200);
	});

	// Guards against the same by callers of the own interface.
	test.serial(`${kind}, on many connections: an instance of the own interface lives within its machine and answers an ordinary request`, async t => {
		await lockCrowds(t);
		process.env.NODE_OPTIONS = heapLimit;
		const cluster = await startCluster({entries: 1, engines: 0, records: 1}, {limits: ownLimits});
		delete process.env.NODE_OPTIONS;
		t.teardown(async () => cluster.stop());
		const [{program, callerAddress}] = cluster.entries;
		const crowd = new CallerCrowd(Number(callerAddress.split(':')[1]), ownHead, 'Host: a\r\n');
		t.teardown(() => {
			crowd.close();
		});
		await crowd.send(kind, connections);
		await cluster.timers.sleep(holdMs);
		t.true(program.isRunning, 'the process has ended');
		t.log(`${Math.round(readPeakMemory(program.pid) / megabyte)} MB, ${countDescriptors(program.pid)} descriptors`);
		t.true(readPeakMemory(program.pid) < ownMachine.memory, `${Math.round(readPeakMemory(program.pid) / megabyte)} MB`);
		t.true(countDescriptors(program.pid) < ownMachine.descriptors, `${countDescriptors(program.pid)} descriptors`);
		const response = await fetch(`http://${callerAddress}/v1/services/records/site-history`, {
			method: 'POST', headers: {authorization: `Bearer ${getApiKey('large')}`}, body: '{}', signal: AbortSignal.timeout(routeTimeout),
		});
		t.is(response.status, 200);
	});
}
