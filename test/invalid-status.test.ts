import {Agent, createServer as createHttpServer} from 'node:http';
import {createServer, type Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {HttpOrderSender} from '../platform/http-order-sender.js';
import {HttpStageReporter} from '../platform/http-stage-reporter.js';
import {PlatformCodec} from '../platform/platform-codec.js';
import {getListeningPort} from '../simulators/json-server.js';
import {type Attempt} from '../src/backends/attempt.js';
import {HttpModelEngine} from '../src/backends/http-model-engine.js';
import {HttpPlainService} from '../src/backends/http-plain-service.js';
import {listen} from '../src/network/listen.js';
import {Health} from '../src/pipelines/stage-reporter.js';
import {OrderOutcome} from '../src/placement/order-sender.js';
import {type AttemptFailure, AttemptFailureReason} from '../src/relay/attempt-failure.js';
import {BackendAgent} from '../src/relay/backend-agent.js';
import {BackendClient} from '../src/relay/backend-client.js';
import {ClockTimerService} from '../src/time/clock-timer-service.js';
import {Metrics} from '../src/observation/metrics.js';
import {TcpConnector} from '../src/tunnels/tcp-connector.js';
import {markTunnelled} from '../src/tunnels/tunnelled-socket.js';
import {TunnelServer} from '../src/tunnels/tunnel-server.js';
import {TunnelClient} from '../src/tunnels/tunnel-client.js';
import {ExchangeFixture, sampleStreamRoute} from './support/exchange-fixture.js';
import {RecordingLog, sampleServer} from './support/sample-fleet.js';

const timers = new ClockTimerService();
const timeout = 1000;
const interim = 'HTTP/1.1 100 Continue\r\n\r\n';

/** Answers each request with a response whose status is 000, behind an interim response or not. */
async function startServer(t: ExecutionContext, body: string, prefix: string): Promise<string> {
	const sockets = new Set<Socket>();
	const server = createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.write(`${prefix}HTTP/1.1 000 OK\r\nContent-Type: application/json\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
		});
	});
	await listen(server, '127.0.0.1', 0);
	t.teardown(() => {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	return `127.0.0.1:${getListeningPort(server)}`;
}

const report = JSON.stringify({sequence: 1});
const load = JSON.stringify({
	running: 0, queued: 0, tokenRate: 1000, isLeaving: false,
});
const order = {
	model: 'm', version: 'v1', firstLayer: 0, endLayer: 8, fencing: 1,
};

for (const [title, prefix] of [['', ''], [' behind an interim response', interim]] as const) {
	// Guards against an order whose outcome is unknown and that counts as refused, and against health and reports that no server has stated.
	test(`the status 000${title} is no answer to a health check, a query for a report or an order`, async t => {
		const server = sampleServer('a', '', undefined, {address: await startServer(t, report, `${prefix}`)});
		const reporter = new HttpStageReporter(new Agent(), timers, timeout);
		t.not(await reporter.checkHealth(server, '/').catch(() => Health.Bad), Health.Good);
		await t.throwsAsync(reporter.fetchReport(server));
		const sender = new HttpOrderSender(new Agent(), timers, timeout, new RecordingLog());
		t.is(await sender.sendOrder({server, range: {from: 0, to: 8}}, 0), OrderOutcome.Unknown);
	});

	// Guards against loads, states and frames of the own interface's servers that come with a status which no server sends.
	test(`the status 000${title} is no answer of a server of the own interface`, async t => {
		const engine = new HttpModelEngine(timers);
		const address = await startServer(t, load, prefix);
		await t.throwsAsync(engine.readLoad(address, timeout));
		await t.throwsAsync(new HttpPlainService(timers).readLoad(address, timeout));
		await t.throwsAsync(engine.readCacheEvents(await startServer(t, '{"events":[]}', prefix), 0, timeout));
		t.is(await engine.readState(await startServer(t, JSON.stringify(order), prefix), timeout), undefined);
		t.false(await engine.sendOrder(address, order, timeout).catch(() => false));
		const frame = `${JSON.stringify({
			a: 1, i: 0, x: 'x', r: [],
		})}\n`;
		const stage = {address: await startServer(t, frame, prefix)};
		const frames: unknown[] = [];
		await new Promise<void>(resolve => {
			engine.run({ // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
				request: 'r1', number: 1, route: [stage], headers: {},
			} as unknown as Attempt, {
				onFrames(received) {
					frames.push(...received);
				},
				onClosed() {
					resolve();
				},
			});
		});
		t.deepEqual(frames, []);
	});

	// Guards against such a response that a caller receives because it came through another instance.
	test(`the status 000${title} is no answer through a tunnel`, async t => {
		const tunnelServer = new TunnelServer({
			direct: new TcpConnector(timers, new Metrics(), timeout), isServer: () => true, isAvailable: () => true, reachesAnother: async () => true, log: new RecordingLog(),
		});
		const instance = createHttpServer();
		instance.on('connect', (request, socket) => {
			void tunnelServer.accept(request, socket);
		});
		await listen(instance, '127.0.0.1', 0);
		t.teardown(() => instance.close());
		const connector = {
			connect: async (address: string) => markTunnelled(await new TunnelClient(timers, timeout).open(`127.0.0.1:${getListeningPort(instance)}`, address)),
		};
		const client = new BackendClient({
			codec: new PlatformCodec(), agent: new BackendAgent(timers, timeout, connector), timers, connectTimeout: timeout,
		});
		const server = sampleServer('a', '', undefined, {address: await startServer(t, '', prefix)});
		const failure = await new Promise<AttemptFailure | undefined>(resolve => {
			client.send({
				request: new ExchangeFixture().createRequest(sampleStreamRoute), server, remaining: timeout, needsNewConnection: false,
			}, {
				onHead() {
					resolve(undefined);
				},
				onData: () => undefined,
				onEnd: () => undefined,
				onFailure: resolve,
			});
		});
		t.is(failure?.reason, AttemptFailureReason.InvalidResponse);
		t.regex(failure?.detail ?? '', /status 0/v);
	});

	// Guards against a tunnel that another instance has not opened.
	test(`the status 000${title} opens no tunnel`, async t => {
		await t.throwsAsync(new TunnelClient(timers, timeout).open(await startServer(t, '', prefix), '10.0.0.1:8000'));
	});
}
