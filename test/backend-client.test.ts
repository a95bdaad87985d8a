import {createServer as createHttpServer} from 'node:http';
import {createServer, type Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {freePort} from '../harness/ports.js';
import {PlatformCodec} from '../platform/platform-codec.js';
import {AttemptFailureReason, type AttemptFailure} from '../src/relay/attempt-failure.js';
import {BackendAgent} from '../src/relay/backend-agent.js';
import {BackendClient} from '../src/relay/backend-client.js';
import {listen} from '../src/network/listen.js';
import {getListeningPort} from '../simulators/json-server.js';
import {HttpPlainService} from '../src/backends/http-plain-service.js';
import {Metrics} from '../src/observation/metrics.js';
import {Execution} from '../src/results/execution.js';
import {ClockTimerService} from '../src/time/clock-timer-service.js';
import {type Connector} from '../src/tunnels/connector.js';
import {TcpConnector} from '../src/tunnels/tcp-connector.js';
import {TunnelClient} from '../src/tunnels/tunnel-client.js';
import {TunnelServer} from '../src/tunnels/tunnel-server.js';
import {markTunnelled} from '../src/tunnels/tunnelled-socket.js';
import {ExchangeFixture, sampleStreamRoute} from './support/exchange-fixture.js';
import {RecordingLog, sampleServer} from './support/sample-fleet.js';

// Guards against taking a server that is only unreachable for one that has ended: both are failures before anything was sent.
test('a refused connection is told apart from one that cannot be established', async t => {
	const timers = new ClockTimerService();
	const client = new BackendClient({
		codec: new PlatformCodec(), agent: new BackendAgent(timers, 1000), timers, connectTimeout: 1000,
	});
	const server = sampleServer('a', '', undefined, {address: `127.0.0.1:${await freePort()}`});
	const failure = await new Promise<AttemptFailure>(resolve => {
		client.send({
			request: new ExchangeFixture().createRequest(sampleStreamRoute), server, remaining: 1000, needsNewConnection: true,
		}, {
			onHead() {
				t.fail();
			},
			onData() {
				t.fail();
			},
			onEnd() {
				t.fail();
			},
			onFailure: resolve,
		});
	});
	t.is(failure.reason, AttemptFailureReason.Refused);
});

/** What an attempt reported: the status of a complete response, or the reason of its failure. */
type Outcome = {
	readonly status?: number;
	readonly isNotExecuted?: boolean;
	readonly reason?: AttemptFailureReason;
	/** What was observed of a failure. */
	readonly detail?: string;
	readonly text: string;
};

type Answer = (id: string, socket: Socket) => void;

const refusal = (id?: string) => `HTTP/1.1 503 Full\r\n${id === undefined ? '' : `Siskinnotch-Attempt-Id: ${id}\r\n`}Siskinnotch-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull`;
const success = (id: string) => `HTTP/1.1 200 OK\r\nSiskinnotch-Attempt-Id: ${id}\r\nSiskinnotch-Replica-Signature: s\r\nContent-Length: 4\r\n\r\ndone`;
const requestPattern = /Siskinnotch-Attempt-Id: (?<id>\S+)/v;

/** Starts a faulty server over raw TCP that answers the request with an id by what the function writes, and returns its port. */
async function startFaultyServer(t: ExecutionContext, arrivals: string[], answer: Answer): Promise<number> {
	const sockets: Socket[] = [];
	const server = createServer(socket => {
		const number = sockets.push(socket);
		socket.on('error', () => {
			socket.destroy();
		});
		socket.on('data', data => {
			const id = requestPattern.exec(data.toString())?.groups?.id;
			if (id !== undefined) {
				arrivals.push(`${id} on ${number}`);
				answer(id, socket);
			}
		});
	});
	await listen(server, '127.0.0.1', 0);
	t.teardown(() => {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	return getListeningPort(server);
}

/** A faulty server, and a client of it that keeps connections. */
class FaultyServerFixture {
	private readonly timers = new ClockTimerService();
	private readonly client: BackendClient;

	/**
	@param arrivals - ids of the requests that arrived, each with the number of its connection
	@param connector - opens the connections; the client itself does if undefined
	*/
	constructor(private readonly port: number, readonly arrivals: readonly string[], connector?: Connector) {
		this.client = new BackendClient({
			codec: new PlatformCodec(), agent: new BackendAgent(this.timers, 1000, connector), timers: this.timers, connectTimeout: 1000,
		});
	}

	/** Lets pooled connections become idle, and bytes that are on their way arrive. */
	async settle(): Promise<void> {
		await this.timers.sleep(20);
	}

	async send(id: string, needsNewConnection = false): Promise<Outcome> {
		const request = {...new ExchangeFixture().createRequest(sampleStreamRoute), id, headers: ['Siskinnotch-Attempt-Id', id]};
		const server = sampleServer('a', '', undefined, {address: `127.0.0.1:${this.port}`});
		let outcome: Outcome = {text: ''};
		return new Promise(resolve => {
			this.client.send({
				request, server, remaining: 1000, needsNewConnection,
			}, {
				onHead({status, isNotExecuted}) {
					outcome = {...outcome, status, isNotExecuted};
				},
				onData(chunk) {
					outcome = {...outcome, text: outcome.text + new TextDecoder().decode(chunk)};
				},
				onEnd() {
					resolve(outcome);
				},
				onFailure({reason, detail}) {
					resolve({...outcome, reason, detail});
				},
			});
		});
	}
}

async function startFixture(t: ExecutionContext, answer: Answer): Promise<FaultyServerFixture> {
	const arrivals: string[] = [];
	return new FaultyServerFixture(await startFaultyServer(t, arrivals, answer), arrivals);
}

for (const staleId of ['one', undefined]) {
	// Guards against a request that is reported as not run because its server repeated the refusal of an earlier one.
	test(`a refusal that is repeated just after the next request was sent does not refuse it (${staleId ?? 'no id'})`, async t => {
		const fixture = await startFixture(t, (id, socket) => {
			socket.write(id === 'one' ? refusal('one') : refusal(staleId) + success(id));
		});
		const first = await fixture.send('one');
		t.true(first.isNotExecuted);
		await fixture.settle();
		const second = await fixture.send('two');
		t.is(second.reason, AttemptFailureReason.InvalidResponse, 'it may have run');
		t.is(second.isNotExecuted, undefined);
		t.deepEqual(fixture.arrivals, ['one on 1', 'two on 1']);
	});
}

// Guards against leftover bytes of a connection that become the response to a later request.
test('a refusal that is repeated on an idle connection closes it', async t => {
	const fixture = await startFixture(t, (id, socket) => {
		socket.write(id === 'one' ? refusal('one') : success(id));
		if (id === 'one') {
			new ClockTimerService().after(5, () => {
				socket.write(refusal('two'));
			});
		}
	});
	await fixture.send('one');
	await fixture.settle();
	const second = await fixture.send('two');
	t.is(second.text, 'done');
	t.deepEqual(fixture.arrivals, ['one on 1', 'two on 2']);
});

// Guards against a second response in the same packet, or after a complete one, that becomes the response to the next request.
test('a refusal that follows a complete response at once closes the connection', async t => {
	const fixture = await startFixture(t, (id, socket) => {
		socket.write(id === 'one' ? success('one') + refusal('two') : success(id));
	});
	const first = await fixture.send('one');
	t.is(first.text, 'done');
	const second = await fixture.send('two');
	t.is(second.text, 'done');
	t.deepEqual(fixture.arrivals, ['one on 1', 'two on 2']);
});

// Guards against refusals that reach a request that may run only once: it must be the first on its connection.
test('a request that may run only once uses no connection of an earlier one and leaves none', async t => {
	const fixture = await startFixture(t, (id, socket) => {
		socket.write(success(id));
	});
	await fixture.send('one');
	await fixture.settle();
	await fixture.send('two', true);
	await fixture.settle();
	await fixture.send('three', true);
	t.deepEqual(fixture.arrivals, ['one on 1', 'two on 2', 'three on 3']);
});

const heads: ReadonlyArray<[framing: string, head: (id: string) => string]> = [
	['a length', id => `HTTP/1.1 200 OK\r\nSiskinnotch-Attempt-Id: ${id}\r\nSiskinnotch-Replica-Signature: s\r\nContent-Length: 12\r\nConnection: keep-alive\r\n\r\n`],
	['chunks', id => `HTTP/1.1 200 OK\r\nSiskinnotch-Attempt-Id: ${id}\r\nSiskinnotch-Replica-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n`],
	['neither', id => `HTTP/1.1 200 OK\r\nSiskinnotch-Attempt-Id: ${id}\r\nSiskinnotch-Replica-Signature: s\r\nContent-Type: text/plain\r\n\r\n`],
];
const attemptId = 'cut';

/** Ends a connection behind each part of a head in turn. */
class HeadCutter {
	length = 0;

	constructor(private readonly head: (id: string) => string, private readonly isReset: boolean) {}

	readonly answer = (id: string, socket: Socket) => {
		socket.write(this.head(id).slice(0, this.length), () => {
			if (this.isReset) {
				socket.resetAndDestroy();
			} else {
				socket.end();
			}
		});
	};
}

for (const framing of ['length', 'chunks', 'end']) {
	// Guards against a complete response that counts as lost because its server closes the connection while a slow caller has not taken it all.
	test(`a response that is complete when its server closes the connection arrives whole at a caller that reads slowly (${framing})`, async t => {
		const body = 'x'.repeat(3000);
		const timers = new ClockTimerService();
		const port = await startFaultyServer(t, [], (id, socket) => {
			const fields = {length: `Content-Length: ${body.length}\r\n`, chunks: 'Transfer-Encoding: chunked\r\n', end: ''}[framing];
			socket.write(`HTTP/1.1 200 OK\r\nSiskinnotch-Attempt-Id: ${id}\r\nSiskinnotch-Replica-Signature: s\r\n${fields}Connection: close\r\n\r\n`);
			const [start, rest] = [body.slice(0, 1000), body.slice(1000)];
			const toPiece = (part: string) => framing === 'chunks' ? `${part.length.toString(16)}\r\n${part}\r\n` : part;
			socket.write(toPiece(start));
			timers.after(20, () => {
				socket.end(toPiece(rest) + (framing === 'chunks' ? '0\r\n\r\n' : ''));
			});
		});
		const client = new BackendClient({
			codec: new PlatformCodec(), agent: new BackendAgent(timers, 1000), timers, connectTimeout: 1000,
		});
		let received = '';
		const outcome = await new Promise<string>(resolve => {
			const running = client.send({
				request: {...new ExchangeFixture().createRequest(sampleStreamRoute), id: 'slow', headers: ['Siskinnotch-Attempt-Id', 'slow']},
				server: sampleServer('a', '', undefined, {address: `127.0.0.1:${port}`}),
				remaining: 2000,
				needsNewConnection: true,
			}, {
				onHead: () => undefined,
				onData(chunk) {
					received += new TextDecoder().decode(chunk);
					running.pause();
					timers.after(100, () => {
						running.resume();
					});
				},
				onEnd() {
					resolve('complete');
				},
				onFailure({detail}) {
					resolve(detail);
				},
			});
		});
		t.is(outcome, 'complete');
		t.is(received, body);
	});
}

/** Parts of a response of 12 bytes behind which its connection ends, and what the failure then says. */
const cuts: ReadonlyArray<[description: string, body: string | undefined, detail: RegExp]> = [
	['before its head', undefined, /^(?:the connection closed before a response arrived|socket hang up|read ECONNRESET)$/v],
	['after its head', '', /^the response ended before it was complete, after its head and 0 bytes of its body/v],
	['after some bytes', 'hello', /^the response ended before it was complete, after its head and 5 bytes of its body/v],
];

for (const [framing, head] of heads) {
	for (const isReset of [false, true]) {
		for (const [description, body, expected] of cuts) {
			// Without framing, an orderly end is the end of the response.
			const isCut = isReset || framing !== 'neither' || body === undefined;
			if (!isCut) {
				continue;
			}

			// Guards against a failure that says that no response arrived, although a part of it was passed on.
			test(`a connection that is lost ${description} is reported as that (${framing}, ${isReset ? 'reset' : 'closed'})`, async t => {
				const fixture = await startFixture(t, (id, socket) => {
					const endConnection = () => {
						if (isReset) {
							socket.resetAndDestroy();
						} else {
							socket.end();
						}
					};

					if (body === undefined) {
						endConnection();
						return;
					}

					const piece = framing === 'chunks' && body.length > 0 ? `${body.length.toString(16)}\r\n${body}\r\n` : body;
					socket.write(head(id) + piece);
					// After the bytes have arrived, since a reset discards what is on its way.
					new ClockTimerService().after(20, endConnection);
				});
				const {reason, detail, text} = await fixture.send(attemptId);
				t.is(reason, AttemptFailureReason.ConnectionLost);
				t.is(text, body ?? '');
				t.regex(detail!, expected);
			});
		}
	}
}

for (const [framing, head] of heads) {
	for (const isReset of [false, true]) {
		// Guards against a response without its body, or with a part of it, that counts as whole because its server ended within the head.
		test(`a response whose head is cut anywhere has failed (${framing}, ${isReset ? 'reset' : 'closed'})`, async t => {
			const cutter = new HeadCutter(head, isReset);
			const fixture = await startFixture(t, cutter.answer);
			for (; cutter.length < head(attemptId).length; cutter.length++) {
				const {status, reason, text} = await fixture.send(attemptId); // eslint-disable-line no-await-in-loop
				t.deepEqual({status, reason, text}, {status: undefined, reason: AttemptFailureReason.ConnectionLost, text: ''}, `after ${cutter.length} characters`);
			}
		});
	}

	test(`a response whose head is cut anywhere has failed (${framing}, own interface)`, async t => {
		const cutter = new HeadCutter(head, false);
		const server = createServer(socket => {
			socket.on('error', () => undefined);
			socket.once('data', () => {
				cutter.answer(attemptId, socket);
			});
		});
		await listen(server, '127.0.0.1', 0);
		t.teardown(() => {
			server.close();
		});
		const service = new HttpPlainService(new ClockTimerService());
		for (; cutter.length < head(attemptId).length; cutter.length += 3) {
			// eslint-disable-next-line no-await-in-loop
			const {execution} = await service.call(`127.0.0.1:${getListeningPort(server)}`, {
				operation: 'lookup', request: 'r1', key: 'k1', body: '{}', headers: {},
			}, 1000);
			t.is(execution, Execution.Unknown, `after ${cutter.length} characters`);
		}
	});

	test(`a response whose head is cut anywhere has failed (${framing}, through another instance)`, async t => {
		const cutter = new HeadCutter(head, false);
		const timers = new ClockTimerService();
		const direct = new TcpConnector(timers, new Metrics(), 300);
		const tunnelServer = new TunnelServer({
			direct, isServer: () => true, isAvailable: () => true, reachesAnother: async () => true, log: new RecordingLog(),
		});
		const instance = createHttpServer();
		instance.on('connect', (request, socket) => {
			void tunnelServer.accept(request, socket);
		});
		await listen(instance, '127.0.0.1', 0);
		t.teardown(() => {
			instance.close();
		});
		const connector: Connector = {
			async connect(address) {
				return markTunnelled(await new TunnelClient(timers, 350).open(`127.0.0.1:${getListeningPort(instance)}`, address));
			},
		};
		const fixture = new FaultyServerFixture(await startFaultyServer(t, [], cutter.answer), [], connector);
		for (; cutter.length < head(attemptId).length; cutter.length += 3) {
			const {status, reason, text} = await fixture.send(attemptId); // eslint-disable-line no-await-in-loop
			t.deepEqual({status, reason, text}, {status: undefined, reason: AttemptFailureReason.ConnectionLost, text: ''}, `after ${cutter.length} characters`);
		}
	});
}
