import {fork} from 'node:child_process';
import process from 'node:process';
import {once} from 'node:events';
import {createServer as createHttpServer, request as startRequest} from 'node:http';
import {
	createServer, connect, Socket, type Server,
} from 'node:net';
import test from 'ava';
import {freePort} from '../harness/ports.js';
import {Metrics} from '../src/observation/metrics.js';
import {RandomSource} from '../src/routing/random-source.js';
import {PlatformCodec} from '../platform/platform-codec.js';
import {AttemptFailureReason, type AttemptFailure} from '../src/relay/attempt-failure.js';
import {BackendAgent} from '../src/relay/backend-agent.js';
import {BackendClient} from '../src/relay/backend-client.js';
import {ClockTimerService} from '../src/time/clock-timer-service.js';
import {ConnectorAgent} from '../src/tunnels/connector-agent.js';
import {ConnectionFailureCause} from '../src/tunnels/connection-failure-cause.js';
import {ConnectionFailure} from '../src/tunnels/connection-failure.js';
import {ConnectionPurpose} from '../src/tunnels/connection-purpose.js';
import {Connector} from '../src/tunnels/connector.js';
import {OwnPaths} from '../src/tunnels/own-paths.js';
import {PathTracker} from '../src/tunnels/path-tracker.js';
import {PeerPaths} from '../src/tunnels/peer-paths.js';
import {ServerConnector} from '../src/tunnels/server-connector.js';
import {TcpConnector} from '../src/tunnels/tcp-connector.js';
import {TunnelFailureReason} from '../src/tunnels/tunnel-failure-reason.js';
import {TunnelFailure} from '../src/tunnels/tunnel-failure.js';
import {TunnelClient} from '../src/tunnels/tunnel-client.js';
import {TunnelServer} from '../src/tunnels/tunnel-server.js';
import {markTunnelled} from '../src/tunnels/tunnelled-socket.js';
import {ExchangeFixture, sampleStreamRoute} from './support/exchange-fixture.js';
import {RecordingLog, sampleServer} from './support/sample-fleet.js';

const timers = new ClockTimerService();

async function listenLocally(server: Server): Promise<number> {
	const port = await freePort();
	server.listen(port, '127.0.0.1');
	await once(server, 'listening');
	return port;
}

// Guards against listeners that pile up on a connection that is used again and again.
test('a pooled connection gains no listeners with each use', async t => {
	const server = createHttpServer((_request, response) => {
		response.end('x');
	});
	const serverPort = await listenLocally(server);
	const port = serverPort;
	const agent = new BackendAgent(timers, 5000);
	const counts: number[] = [];
	for (let number = 0; number < 30; number++) {
		// eslint-disable-next-line no-await-in-loop
		await new Promise<void>((resolve, reject) => {
			const request = startRequest({agent, host: '127.0.0.1', port}, response => {
				response.resume();
				counts.push(response.socket.listenerCount('close'));
				response.once('end', () => {
					setImmediate(resolve);
				});
			});
			request.once('error', reject);
			request.end();
		});
	}

	agent.destroy();
	server.close();
	server.closeAllConnections();
	t.true(counts.at(-1)! <= counts[2] + 2, `listeners: ${counts.join(' ')}`);
});

// Guards against tunnels that stay open for good when the other instance gave up while the connection was being opened.
test('a tunnel whose user left before it was opened is closed', async t => {
	let backendClosed = 0;
	const sockets = new Set<Socket>();
	const backend = createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			backendClosed++;
		});
		socket.resume();
	});
	const backendPort = await listenLocally(backend);
	const address = `127.0.0.1:${backendPort}`;
	const direct = new TcpConnector(timers, new Metrics(), 150);
	const tunnelServer = new TunnelServer({
		direct: {
			async connect(to: string) {
				await timers.sleep(100);
				return direct.connect(to, ConnectionPurpose.Tunnel);
			},
		},
		isServer: () => true, isAvailable: () => true, reachesAnother: async () => true, log: new RecordingLog(),
	});
	const server = createHttpServer();
	server.on('connect', (request, socket) => {
		void tunnelServer.accept(request, socket);
	});
	const serverPort = await listenLocally(server);
	const client = connect(serverPort, '127.0.0.1');
	client.on('error', () => undefined);
	client.write(`CONNECT ${address} HTTP/1.1\r\nHost: x\r\n\r\n`);
	await timers.sleep(30);
	client.destroy();
	await timers.sleep(1500);
	const open = tunnelServer.size;
	for (const socket of sockets) {
		socket.destroy();
	}

	backend.close();
	server.close();
	t.deepEqual({open, backendClosed}, {open: 0, backendClosed: 1});
});

class Paths extends Connector {
	constructor(private readonly dead: ReadonlySet<string>) {
		super();
	}

	async connect(address: string): Promise<Socket> {
		if (this.dead.has(address)) {
			throw new ConnectionFailure('refused', ConnectionFailureCause.Refused);
		}

		return new Socket();
	}
}

/** Creates the connections of an instance beside one that opens no tunnels. */
function createConnector(addresses: readonly string[], dead: ReadonlySet<string>, seed: number) {
	const paths = new PathTracker();
	const random = new RandomSource(seed);
	const log = new RecordingLog();
	const ownPaths = new OwnPaths({
		direct: new Paths(dead), paths, findAddresses: () => addresses, random, timers, log, onBroken: () => undefined, onRestored: () => undefined,
	}, {probeTimeout: 150, probeInterval: 20});
	const connector = new ServerConnector({
		ownPaths,
		tunnels: {
			async open() {
				throw new TunnelFailure('x', TunnelFailureReason.Unavailable);
			},
		},
		peerPaths: new PeerPaths(() => paths.isPartitioned),
		findPeers: () => [{id: 'b', availabilityZone: 'z', peers: '127.0.0.1:1'}],
		random,
		timers,
		metrics: new Metrics(),
		log,
	}, {tunnelDelay: 50, tunnelPatience: 200});
	return {tracker: paths, ownPaths, connector};
}

// Guards against an instance that counts as partitioned because it asked another dead server, though it reaches half of them.
test('an instance that reaches half of the servers does not count as partitioned', async t => {
	let partitioned = 0;
	for (let seed = 1; seed <= 40; seed++) {
		const {tracker, connector} = createConnector(['s1', 's2', 's3', 's4', 's5', 's6', 's7', 's8'], new Set(['s1', 's2', 's3', 's4']), seed);
		// eslint-disable-next-line no-await-in-loop
		await Promise.allSettled(['s1', 's2'].map(async address => connector.connect(address, ConnectionPurpose.Request)));
		await timers.sleep(5); // eslint-disable-line no-await-in-loop
		partitioned += tracker.isPartitioned ? 1 : 0;
	}

	t.is(partitioned, 0);
});

// Guards against an instance that cannot tell that a server refuses because it asked another dead one, though it reaches half of them.
test('an instance that reaches half of the servers can tell that one refuses', async t => {
	let unable = 0;
	for (let seed = 1; seed <= 40; seed++) {
		const {ownPaths} = createConnector(['s1', 's2', 's3', 's4', 's5', 's6', 's7', 's8'], new Set(['s1', 's2', 's3', 's4']), seed);
		unable += await ownPaths.reachesAnother('s1') ? 0 : 1; // eslint-disable-line no-await-in-loop
	}

	t.is(unable, 0);
});

// Guards against a truncated response without a length that looks complete because the instance in between was killed.
test('a response through an instance that is killed does not end as if it were complete', async t => {
	const request = new ExchangeFixture().createRequest(sampleStreamRoute);
	const backend = createServer(socket => {
		socket.on('error', () => undefined);
		t.teardown(() => {
			socket.destroy();
		});
		socket.once('data', () => {
			socket.write(`HTTP/1.1 200 OK\r\nSiskinnotch-Attempt-Id: ${request.id}\r\nSiskinnotch-Replica-Signature: s\r\nConnection: close\r\n\r\nfirst half`);
		});
	});
	const backendPort = await listenLocally(backend);
	const address = `127.0.0.1:${backendPort}`;
	const child = fork(new URL('support/tunnel-process.js', import.meta.url), [address], {execArgv: process.execArgv});
	const message = await once(child, 'message');
	const port = Number(message[0]);
	const connector = {
		async connect(to: string) {
			const socket = await new TunnelClient(timers, 2000).open(`127.0.0.1:${port}`, to);
			return markTunnelled(socket);
		},
	};
	const client = new BackendClient({
		codec: new PlatformCodec(), agent: new BackendAgent(timers, 1000, connector), timers, connectTimeout: 1000,
	});
	let text = '';
	const failure = await new Promise<AttemptFailure | undefined>(resolve => {
		client.send({
			request, server: sampleServer('a', '', undefined, {address}), remaining: 1000, needsNewConnection: false,
		}, {
			onHead: () => undefined,
			onData(chunk) {
				text += new TextDecoder().decode(chunk);
				child.kill('SIGKILL');
			},
			onEnd() {
				resolve(undefined);
			},
			onFailure: resolve,
		});
	});
	backend.close();
	t.is(text, 'first half');
	t.is(failure?.reason, AttemptFailureReason.ConnectionLost);
});

// Guards against bytes that reach a server after the request was given up while its connection was being opened.
test('a request that is given up while its connection is opened sends nothing and leaves no connection', async t => {
	let bytes = 0;
	let closed = 0;
	const backend = createServer(socket => {
		socket.on('data', (chunk: Uint8Array) => {
			bytes += chunk.length;
		});
		socket.on('close', () => {
			closed++;
		});
	});
	const backendPort = await listenLocally(backend);
	const port = backendPort;
	const direct = new TcpConnector(timers, new Metrics(), 300);
	const slow = {
		async connect(address: string) {
			await timers.sleep(50);
			return direct.connect(address, ConnectionPurpose.Request);
		},
	};
	for (const agent of [new BackendAgent(timers, 5000, slow), new ConnectorAgent(slow, ConnectionPurpose.IsolatedRequest)]) {
		const request = startRequest({
			agent, host: '127.0.0.1', port, method: 'POST',
		});
		request.on('error', () => undefined);
		request.end('body');
		timers.after(10, () => {
			request.destroy();
		});
	}

	await timers.sleep(400);
	backend.close();
	t.deepEqual({bytes, closed}, {bytes: 0, closed: 2});
});

// Guards against a server that is told of time that passed while the connection was being opened.
test('a connection is established within half a second, since the deadline is encoded before', async t => {
	const tracker = new PathTracker();
	tracker.recordFailure('s1', false, timers.now());
	tracker.recordPartition();
	let opened = 0;
	const random = new RandomSource(1);
	const log = new RecordingLog();
	const direct = {
		async connect() {
			await timers.sleep(60);
			return new Socket();
		},
	};
	const connector = new ServerConnector({
		ownPaths: new OwnPaths({
			direct, paths: tracker, findAddresses: () => ['s1', 's2'], random, timers, log, onBroken: () => undefined, onRestored: () => undefined,
		}, {probeTimeout: 150, probeInterval: 500}),
		tunnels: {
			async open() {
				await timers.sleep(opened++ === 0 ? 150 : 350);
				throw new TunnelFailure('no answer', TunnelFailureReason.Unavailable);
			},
		},
		peerPaths: new PeerPaths(() => tracker.isPartitioned),
		findPeers: () => ['b', 'c', 'd'].map(id => ({id, availabilityZone: 'z', peers: '127.0.0.1:1'})),
		random,
		timers,
		metrics: new Metrics(),
		log,
	}, {tunnelDelay: 120, tunnelPatience: 200});
	const startedAt = timers.now();
	await connector.connect('s1', ConnectionPurpose.Request);
	t.true(timers.now() - startedAt <= 500, `${Math.round(timers.now() - startedAt)} ms`);
});
