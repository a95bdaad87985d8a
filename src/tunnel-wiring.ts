import {type RegisteredInstance} from './entry/instance-registry.js';
import {type Lifecycle} from './lifecycle.js';
import {type DecisionLog} from './observation/decision-log.js';
import {type Metrics} from './observation/metrics.js';
import {type ServerDirectory} from './pipelines/server-directory.js';
import {type RandomSource} from './routing/random-source.js';
import {type TimerService} from './time/timer-service.js';
import {OwnPaths} from './tunnels/own-paths.js';
import {PathTracker} from './tunnels/path-tracker.js';
import {PeerPaths} from './tunnels/peer-paths.js';
import {ServerConnector} from './tunnels/server-connector.js';
import {TcpConnector} from './tunnels/tcp-connector.js';
import {TunnelClient} from './tunnels/tunnel-client.js';
import {TunnelServer} from './tunnels/tunnel-server.js';

/** The parts that connect this instance to the backend servers, also through other instances. */
export type Tunnels = {
	readonly paths: PathTracker;
	readonly peerPaths: PeerPaths;
	readonly ownPaths: OwnPaths;
	readonly serverConnector: ServerConnector;
	readonly tunnelServer: TunnelServer;
};

/** What the tunnel parts are built from. */
export type TunnelDependencies = {
	readonly directory: ServerDirectory;
	readonly findPeers: () => readonly RegisteredInstance[];
	readonly lifecycle: Lifecycle;
	readonly random: RandomSource;
	readonly timers: TimerService;
	readonly metrics: Metrics;
	readonly log: DecisionLog;
};

/** What the other parts of the router are told. */
export type TunnelEvents = {
	/** Called when the own path to a server turns out to be broken; all own paths are if the address is undefined. */
	readonly onBroken: (address: string | undefined) => void;
	/** Called when an own path works again after a partition. */
	readonly onRestored: () => void;
};

/** Durations in milliseconds. */
const connectorTimings = {tunnelDelay: 120, tunnelPatience: 200};
/** Durations in milliseconds. */
const probeTimings = {probeTimeout: 150, probeInterval: 500};
/** Time to open a connection for another instance; with the delay before it, within the time of a connection that fails. */
const tunnelConnectTimeoutMs = 150;
const tunnelTimeoutMs = 350;

/** Creates the parts that connect a router to the backend servers. */
export function wireTunnels(connectTimeout: number, {directory, findPeers, lifecycle, random, timers, metrics, log}: TunnelDependencies, events: TunnelEvents): Tunnels {
	const paths = new PathTracker();
	const peerPaths = new PeerPaths(() => paths.isPartitioned);
	const ownPaths = new OwnPaths({
		direct: new TcpConnector(timers, metrics, connectTimeout),
		paths,
		findAddresses: () => directory.all().map(({address}) => address),
		random,
		timers,
		log,
		...events,
	}, probeTimings);
	const serverConnector = new ServerConnector({
		ownPaths, tunnels: new TunnelClient(timers, tunnelTimeoutMs), peerPaths, findPeers, random, timers, metrics, log,
	}, connectorTimings);
	const tunnelServer = new TunnelServer({
		direct: new TcpConnector(timers, metrics, tunnelConnectTimeoutMs),
		isServer: address => directory.findByAddress(address) !== undefined,
		isAvailable: () => !lifecycle.isDraining && !paths.isPartitioned,
		reachesAnother: async address => ownPaths.reachesAnother(address),
		log,
	});
	metrics.gauge('siskinnotch_partitioned', () => paths.isPartitioned ? 1 : 0);
	metrics.gauge('siskinnotch_tunnels', () => tunnelServer.size);
	return {
		paths, peerPaths, ownPaths, serverConnector, tunnelServer,
	};
}
