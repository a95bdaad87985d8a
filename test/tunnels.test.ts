import {createServer as createHttpServer} from 'node:http';
import {createServer, Socket, type Server} from 'node:net';
import {once} from 'node:events';
import {Duplex} from 'node:stream';
import test, {type ExecutionContext} from 'ava';
import {freePort} from '../harness/ports.js';
import {Metrics} from '../src/observation/metrics.js';
import {RandomSource} from '../src/routing/random-source.js';
import {ClockTimerService} from '../src/time/clock-timer-service.js';
import {ConnectionFailureCause} from '../src/tunnels/connection-failure-cause.js';
import {ConnectionFailure} from '../src/tunnels/connection-failure.js';
import {ConnectionPurpose} from '../src/tunnels/connection-purpose.js';
import {Connector} from '../src/tunnels/connector.js';
import {OwnPaths} from '../src/tunnels/own-paths.js';
import {PathTracker} from '../src/tunnels/path-tracker.js';
import {PeerPaths} from '../src/tunnels/peer-paths.js';
import {ServerConnector} from '../src/tunnels/server-connector.js';
import {TcpConnector} from '../src/tunnels/tcp-connector.js';
import {TunnelClient} from '../src/tunnels/tunnel-client.js';
import {TunnelFailureReason} from '../src/tunnels/tunnel-failure-reason.js';
import {TunnelFailure} from '../src/tunnels/tunnel-failure.js';
import {TunnelServer, type TunnelServerDependencies} from '../src/tunnels/tunnel-server.js';
import {isTunnelled} from '../src/tunnels/tunnelled-socket.js';
import {RecordingLog} from './support/sample-fleet.js';

const timers = new ClockTimerService();
const timings = {
	tunnelDelay: 50, tunnelPatience: 200, probeTimeout: 150, probeInterval: 20,
};

/** Listens with a server that treats each connection as given; returns its address. */
async function listenTcp(t: ExecutionContext, onConnection: (socket: Socket) => void): Promise<string> {
	const server: Server = createServer(socket => {
		socket.on('error', () => undefined);
		onConnection(socket);
	});
	const port = await freePort();
	server.listen(port, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
	});
	return `127.0.0.1:${port}`;
}

function createTunnelServer(changes: Partial<TunnelServerDependencies> = {}): TunnelServer {
	return new TunnelServer({
		direct: new TcpConnector(timers, new Metrics(), 150), isServer: () => true, isAvailable: () => true, reachesAnother: async () => true, log: new RecordingLog(), ...changes,
	});
}

/** Starts another instance that opens tunnels; returns its address. */
async function startInstance(t: ExecutionContext, changes: Partial<TunnelServerDependencies> = {}, tunnelServer = createTunnelServer(changes)): Promise<string> {
	const server = createHttpServer();
	server.on('connect', (request, socket) => {
		void tunnelServer.accept(request, socket);
	});
	const port = await freePort();
	server.listen(port, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
	});
	return `127.0.0.1:${port}`;
}

async function openTunnel(instance: string, server: string): Promise<Socket> {
	return new TunnelClient(timers, 350).open(instance, server);
}

async function findFailureReason(opening: Promise<Socket>): Promise<TunnelFailureReason | undefined> {
	try {
		await opening;
		return undefined;
	} catch (error) {
		return error instanceof TunnelFailure ? error.reason : undefined;
	}
}

test('a tunnel transfers bytes in both directions, and ends when the server ends the connection', async t => {
	const server = await listenTcp(t, socket => {
		socket.once('data', (bytes: Uint8Array) => {
			socket.end(`echo ${new TextDecoder().decode(bytes)}`);
		});
	});
	const socket = await openTunnel(await startInstance(t), server);
	let text = '';
	socket.on('data', (bytes: Uint8Array) => {
		text += new TextDecoder().decode(bytes);
	});
	socket.write('hello');
	await once(socket, 'end');
	t.is(text, 'echo hello');
	socket.destroy();
});

// Guards against responses that are cut by the planned stop of the instance that holds their tunnel: the server had sent them, and the other instance had not received them.
test('a tunnel is open until what the server sent has left the instance', async t => {
	const server = await listenTcp(t, socket => {
		socket.end('response');
	});
	let sent = '';
	const release: Array<() => void> = [];
	// The connection of an instance that does not read yet.
	const stream = Object.assign(new Duplex({
		read: () => undefined,
		write(chunk: Uint8Array, _encoding, callback) {
			sent += new TextDecoder().decode(chunk);
			release.push(callback);
		},
	}), {setNoDelay: () => undefined, setKeepAlive: () => undefined});
	const tunnelServer = createTunnelServer();
	await tunnelServer.accept({url: server}, stream);
	await timers.sleep(200);
	t.is(tunnelServer.size, 1);
	while (!stream.writableFinished) {
		release.shift()?.();
		await timers.sleep(5); // eslint-disable-line no-await-in-loop
	}

	t.true(sent.endsWith('response'));
	t.is(tunnelServer.size, 0);
});

// Guards against a process that ends because opening a tunnel for another instance threw.
test('a tunnel whose opening throws is refused, and the process goes on', async t => {
	const instance = await startInstance(t, {
		isServer() {
			throw new TypeError('broken');
		},
	});
	t.is(await findFailureReason(openTunnel(instance, '127.0.0.1:1')), TunnelFailureReason.Unavailable);
});

// Guards against a truncated response that looks complete because the reset of its connection was lost on the way.
test('a connection that the server resets is reset at the other end of the tunnel', async t => {
	const server = await listenTcp(t, socket => {
		socket.write('part');
		timers.after(30, () => {
			socket.resetAndDestroy();
		});
	});
	const socket = await openTunnel(await startInstance(t), server);
	let hasEnded = false;
	socket.on('end', () => {
		hasEnded = true;
	});
	socket.resume();
	const closed = new Promise<boolean>(resolve => {
		socket.once('close', resolve);
	});
	const hadError = await closed;
	t.true(hadError);
	t.false(hasEnded);
});

// Guards against work that goes on at a server after its caller has left.
test('a tunnel that is closed closes the connection to the server', async t => {
	let markClosed: () => void;
	const closed = new Promise<void>(resolve => {
		markClosed = resolve;
	});
	const server = await listenTcp(t, socket => {
		socket.once('close', () => {
			markClosed();
		});
		socket.resume();
	});
	const socket = await openTunnel(await startInstance(t), server);
	socket.destroy();
	await t.notThrowsAsync(closed);
});

// Guards against an instance that takes the fault of its own links for the end of a server, and tells others so.
test('only an instance that reaches other servers says that a server refuses; none opens a tunnel to what is no server', async t => {
	const dead = `127.0.0.1:${await freePort()}`;
	const reasons = await Promise.all([
		openTunnel(await startInstance(t), dead),
		openTunnel(await startInstance(t, {reachesAnother: async () => false}), dead),
		openTunnel(await startInstance(t, {isServer: () => false}), dead),
		openTunnel(await startInstance(t, {isAvailable: () => false}), dead),
		openTunnel(`127.0.0.1:${await freePort()}`, dead),
	].map(async opening => findFailureReason(opening)));
	t.deepEqual(reasons, [TunnelFailureReason.Refused, TunnelFailureReason.Unavailable, TunnelFailureReason.Unknown, TunnelFailureReason.Unavailable, TunnelFailureReason.Unavailable]);
});

/** Paths of an instance to the backend servers, as a test prescribes. */
class Paths extends Connector {
	/** Addresses to which connections are refused. */
	readonly refusing = new Set<string>();
	/** Addresses to which connections are never established. */
	readonly silent = new Set<string>();
	readonly attempts: string[] = [];

	async connect(address: string): Promise<Socket> {
		this.attempts.push(address);
		if (this.silent.has(address)) {
			await timers.sleep(100);
			throw new ConnectionFailure('no answer', ConnectionFailureCause.Unanswered);
		}

		if (this.refusing.has(address)) {
			throw new ConnectionFailure('refused', ConnectionFailureCause.Refused);
		}

		return new Socket();
	}
}

/** An instance with prescribed paths, beside one other instance. */
class Fixture {
	readonly own = new Paths();
	/** What a request for a tunnel leads to. */
	tunnelFailure?: TunnelFailureReason;
	tunnelRequests = 0;
	peers = ['entry-b'];
	readonly broken: Array<string | undefined> = [];
	restorations = 0;
	readonly tracker = new PathTracker();
	readonly ownPaths: OwnPaths;
	readonly connector: ServerConnector;

	constructor(readonly addresses: readonly string[]) {
		this.ownPaths = new OwnPaths({
			direct: this.own,
			paths: this.tracker,
			findAddresses: () => this.addresses,
			random: new RandomSource(1),
			timers,
			log: new RecordingLog(),
			onBroken: address => {
				this.broken.push(address);
			},
			onRestored: () => {
				this.restorations++;
			},
		}, timings);
		this.connector = new ServerConnector({
			ownPaths: this.ownPaths,
			tunnels: {
				open: async () => {
					this.tunnelRequests++;
					if (this.tunnelFailure) {
						throw new TunnelFailure('refused', this.tunnelFailure);
					}

					return new Socket();
				},
			},
			peerPaths: new PeerPaths(() => this.tracker.isPartitioned),
			findPeers: () => this.peers.map(id => ({id, availabilityZone: 'zone-a', peers: '127.0.0.1:1'})),
			random: new RandomSource(1),
			timers,
			metrics: new Metrics(),
			log: new RecordingLog(),
		}, timings);
	}

	async findCause(address: string): Promise<ConnectionFailureCause | undefined> {
		try {
			await this.connector.connect(address, ConnectionPurpose.Request);
			return undefined;
		} catch (error) {
			return error instanceof ConnectionFailure ? error.reason : undefined;
		}
	}
}

test('a failed connection is a server\'s fault only if another instance that reaches servers says so, or if there is none', async t => {
	const fixture = new Fixture(['s1', 's2', 's3']);
	fixture.own.refusing.add('s1');
	fixture.tunnelFailure = TunnelFailureReason.Refused;
	t.is(await fixture.findCause('s1'), ConnectionFailureCause.Refused);
	fixture.tunnelFailure = TunnelFailureReason.Unanswered;
	t.is(await fixture.findCause('s1'), ConnectionFailureCause.Unanswered);
	fixture.tunnelFailure = TunnelFailureReason.Unavailable;
	t.is(await fixture.findCause('s1'), ConnectionFailureCause.Unverified);
	const alone = new Fixture(['s1']);
	alone.peers = [];
	alone.own.refusing.add('s1');
	t.is(await alone.findCause('s1'), ConnectionFailureCause.Refused);
});

// Guards against an instance that goes through others for good because single paths of it failed.
test('an instance is partitioned if no own path works, and no longer once one works', async t => {
	const fixture = new Fixture(['s1', 's2', 's3', 's4']);
	fixture.ownPaths.start();
	fixture.own.refusing.add('s1');
	fixture.own.silent.add('s2');
	const sockets = await Promise.all(['s1', 's2', 's3'].map(async address => fixture.connector.connect(address, ConnectionPurpose.Request)));
	t.deepEqual(sockets.map(socket => isTunnelled(socket)), [true, true, false]);
	await timers.sleep(150);
	t.false(fixture.tracker.isPartitioned);
	for (const address of fixture.addresses) {
		fixture.own.refusing.add(address);
	}

	await Promise.all(['s3', 's4'].map(async address => fixture.connector.connect(address, ConnectionPurpose.Request)));
	await timers.sleep(150);
	t.true(fixture.tracker.isPartitioned);
	t.true(fixture.broken.includes(undefined));
	fixture.own.attempts.length = 0;
	t.true(isTunnelled(await fixture.connector.connect('s1', ConnectionPurpose.Request)));
	fixture.own.refusing.clear();
	fixture.own.silent.clear();
	await timers.sleep(150);
	t.false(fixture.tracker.isPartitioned);
	t.is(fixture.restorations, 1);
	t.false(isTunnelled(await fixture.connector.connect('s1', ConnectionPurpose.Request)));
});

test('while no other instance opens a tunnel, a partitioned instance tries its own path', async t => {
	const fixture = new Fixture(['s1', 's2']);
	fixture.tracker.recordFailure('s1', false, timers.now());
	fixture.tracker.recordPartition();
	fixture.tunnelFailure = TunnelFailureReason.Unavailable;
	t.false(isTunnelled(await fixture.connector.connect('s1', ConnectionPurpose.Request)));
	t.false(fixture.tracker.isPartitioned);
});

// Guards against a lost server that costs each instance a query of another one, with probes of further servers, for each failed connection.
test('connections to a lost server that fail at the same time make one query of another instance', async t => {
	const fixture = new Fixture(['s1', 's2']);
	fixture.own.refusing.add('s1');
	fixture.tunnelFailure = TunnelFailureReason.Refused;
	const causes = await Promise.all(Array.from({length: 5}, async () => fixture.findCause('s1')));
	t.deepEqual(new Set(causes), new Set([ConnectionFailureCause.Refused]));
	t.is(fixture.tunnelRequests, 1);
	fixture.tunnelFailure = undefined;
	const later = await Promise.all(Array.from({length: 3}, async () => fixture.findCause('s1')));
	t.deepEqual(later, [undefined, undefined, undefined], 'each gets a connection of its own through others');
});

test('instances that ask at the same time about a lost server share the probes of others, also if none is reached', async t => {
	const fixture = new Fixture(['s1', 's2', 's3', 's4', 's5', 's6', 's7', 's8']);
	const ask = async () => Promise.all(Array.from({length: 6}, async () => fixture.ownPaths.reachesAnother('s1')));
	t.deepEqual(await ask(), Array.from({length: 6}, () => true));
	t.true(fixture.own.attempts.length <= 2, `${fixture.own.attempts.length} probes`);
	for (const address of fixture.addresses) {
		fixture.own.silent.add(address);
	}

	t.deepEqual(await ask(), Array.from({length: 6}, () => false));
	t.true(fixture.own.attempts.length <= 2 + 6, `${fixture.own.attempts.length} probes`);
});

// Guards against a probe that left out the only server that works, and is taken for an answer about another one.
test('a probe that reached none answers only those who asked about the same server', async t => {
	const fixture = new Fixture(['s1', 's2']);
	fixture.own.silent.add('s2');
	t.deepEqual(await Promise.all(['s1', 's2'].map(async address => fixture.ownPaths.reachesAnother(address))), [false, true]);
});
