import {type Socket} from 'node:net';
import {type RegisteredInstance} from '../entry/instance-registry.js';
import {type DecisionLog} from '../observation/decision-log.js';
import {type Metrics} from '../observation/metrics.js';
import {getErrorMessage} from '../results/to-failure.js';
import {type RandomSource} from '../routing/random-source.js';
import {type TimerService} from '../time/timer-service.js';
import {ConnectionFailureCause} from './connection-failure-cause.js';
import {ConnectionFailure} from './connection-failure.js';
import {ConnectionPurpose} from './connection-purpose.js';
import {Connector} from './connector.js';
import {type OwnPaths} from './own-paths.js';
import {type PeerPaths} from './peer-paths.js';
import {isConclusive, PendingServerChecks} from './pending-server-checks.js';
import {type TunnelClient} from './tunnel-client.js';
import {TunnelFailureReason} from './tunnel-failure-reason.js';
import {TunnelFailure} from './tunnel-failure.js';
import {isTunnelled, markTunnelled} from './tunnelled-socket.js';

export type ServerConnectorDependencies = {
	readonly ownPaths: OwnPaths;
	readonly tunnels: Pick<TunnelClient, 'open'>;
	readonly peerPaths: PeerPaths;
	/** The other instances that respond. */
	readonly findPeers: () => readonly RegisteredInstance[];
	readonly random: RandomSource;
	readonly timers: TimerService;
	readonly metrics: Metrics;
	readonly log: DecisionLog;
};

/** Timings of a connector, in milliseconds. */
export type ConnectorTimings = {
	/** Time after which a tunnel is opened beside an own connection that is not established yet. */
	readonly tunnelDelay: number;
	/** Time after which no further instance is asked for a tunnel, since the request's time runs. */
	readonly tunnelPatience: number;
};

/** Time to establish a connection by whatever path; the remaining time of a request is encoded before, and must not be much shorter then. */
const maxConnectMs = 400;
/** Instances that are asked for a tunnel, one after the other, for one connection. */
const maxTunnelAttempts = 3;

/**
Opens connections to backend servers, from this instance itself or, where its own path is broken, through another instance.

Whether a server does not work is decided only by an instance that reaches other servers. So an instance that is cut off neither takes the servers for dead nor tells others so.
*/
export class ServerConnector extends Connector {
	private readonly serverChecks = new PendingServerChecks();

	constructor(private readonly dependencies: ServerConnectorDependencies, private readonly timings: ConnectorTimings) {
		super();
	}

	async connect(address: string, purpose: ConnectionPurpose): Promise<Socket> {
		const connection = this.open(address, purpose);
		let isLate = false;
		try {
			return await this.dependencies.timers.withTimeout(connection, maxConnectMs, () => {
				isLate = true;
				return new ConnectionFailure(`connection not established within ${maxConnectMs} ms`, ConnectionFailureCause.Unverified);
			});
		} finally {
			if (isLate) {
				void this.discard(connection);
			}
		}
	}

	/** Whether the own path to a server fails while another instance reaches the server, or nobody can tell. */
	async isPathBroken(address: string): Promise<boolean> {
		try {
			const socket = await this.connect(address, ConnectionPurpose.Probe);
			socket.destroy();
			return isTunnelled(socket);
		} catch (error) {
			return error instanceof ConnectionFailure && error.reason === ConnectionFailureCause.Unverified;
		}
	}

	private async open(address: string, purpose: ConnectionPurpose): Promise<Socket> {
		if (this.dependencies.ownPaths.isBroken(address)) {
			return this.connectAround(address, purpose);
		}

		const direct = this.dependencies.ownPaths.connect(address, purpose);
		const isSettled = await this.settlesWithin(direct, this.timings.tunnelDelay);
		return isSettled ? this.verify(address, purpose, direct) : this.race(address, direct, this.openTunnel(address, purpose));
	}

	private async settlesWithin(connection: Promise<Socket>, duration: number): Promise<boolean> {
		const settle = async () => {
			try {
				await connection;
			} catch {
				// The caller handles the failure.
			}

			return true;
		};

		const delay = async () => {
			await this.dependencies.timers.sleep(duration);
			return false;
		};

		return Promise.race([settle(), delay()]);
	}

	/** Returns an own connection, or finds out through another instance why it failed. */
	private async verify(address: string, purpose: ConnectionPurpose, direct: Promise<Socket>): Promise<Socket> {
		try {
			return await direct;
		} catch (error) {
			return this.connectAfterFailure(address, purpose, error);
		}
	}

	/** Returns whichever of an own connection and a tunnel is established first. */
	private async race(address: string, direct: Promise<Socket>, tunnel: Promise<Socket>): Promise<Socket> {
		try {
			const socket = await Promise.any([direct, tunnel]);
			void this.discard(direct, socket, address);
			void this.discard(tunnel, socket);
			return socket;
		} catch (error) {
			const [failure, tunnelFailure] = error instanceof AggregateError ? error.errors as unknown[] : [error, error];
			throw this.createFailure(address, failure, tunnelFailure);
		}
	}

	/** Closes a connection that is too late or that another one has overtaken. If the own one fails after all, its path is broken. */
	private async discard(connection: Promise<Socket>, used?: Socket, ownAddress?: string): Promise<void> {
		try {
			const socket = await connection;
			if (socket !== used) {
				socket.destroy();
			}
		} catch (error) {
			if (ownAddress !== undefined) {
				this.dependencies.ownPaths.recordFailure(ownAddress, error);
			}
		}
	}

	private async connectAfterFailure(address: string, purpose: ConnectionPurpose, error: unknown): Promise<Socket> {
		const pendingCheck = this.serverChecks.getPending(address);
		const knownFailure = pendingCheck && await pendingCheck;
		if (knownFailure) {
			throw this.createFailure(address, error, knownFailure);
		}

		const tunnel = this.openTunnel(address, purpose);
		void this.serverChecks.hold(address, tunnel);
		try {
			const socket = await tunnel;
			this.dependencies.ownPaths.recordFailure(address, error);
			return socket;
		} catch (error_) {
			throw this.createFailure(address, error, error_);
		}
	}

	/** Connects to a server to which the own path is broken. The own path is tried as well if a tunnel takes long. */
	private async connectAround(address: string, purpose: ConnectionPurpose): Promise<Socket> {
		const tunnel = this.openTunnel(address, purpose);
		if (!await this.settlesWithin(tunnel, this.timings.tunnelDelay)) {
			return this.race(address, this.dependencies.ownPaths.connect(address, purpose), tunnel);
		}

		try {
			return await tunnel;
		} catch (error) {
			if (error instanceof TunnelFailure && isConclusive(error)) {
				throw this.createFailure(address, error, error);
			}

			return this.connectAlone(address, purpose, error);
		}
	}

	private async connectAlone(address: string, purpose: ConnectionPurpose, failure: unknown): Promise<Socket> {
		try {
			return await this.dependencies.ownPaths.connect(address, purpose);
		} catch (error) {
			throw this.createFailure(address, error, failure);
		}
	}

	/** Returns the failure of a connection that neither this instance nor another one established. */
	private createFailure(address: string, error: unknown, failure: unknown): ConnectionFailure {
		const message = getErrorMessage(error);
		if (failure instanceof TunnelFailure && failure.reason === TunnelFailureReason.Refused) {
			return new ConnectionFailure(message, ConnectionFailureCause.Refused);
		}

		if (failure instanceof TunnelFailure && failure.reason === TunnelFailureReason.Unanswered) {
			return new ConnectionFailure(message, ConnectionFailureCause.Unanswered);
		}

		if (this.dependencies.findPeers().length === 0 && error instanceof ConnectionFailure) {
			return error;
		}

		this.dependencies.ownPaths.recordFailure(address, error);
		return new ConnectionFailure(`${message}; no other instance could tell why: ${getErrorMessage(failure)}`, ConnectionFailureCause.Unverified);
	}

	/** Opens a tunnel through one of the other instances. Throws TunnelFailure. */
	private async openTunnel(address: string, purpose: ConnectionPurpose): Promise<Socket> {
		const {peerPaths, findPeers, tunnels, random, timers, metrics, log} = this.dependencies;
		let last: unknown = new TunnelFailure('no other instance is known to reach the backend servers', TunnelFailureReason.Unavailable);
		const startedAt = timers.now();
		for (const {id, peers} of peerPaths.select(findPeers(), maxTunnelAttempts, random, startedAt)) {
			if (timers.now() - startedAt > this.timings.tunnelPatience) {
				break;
			}

			try {
				const socket = await tunnels.open(peers, address); // eslint-disable-line no-await-in-loop
				metrics.count('siskinnotch_tunnels_opened', 1, {purpose});
				log.write('tunnel.opened', {address, through: id});
				return markTunnelled(socket);
			} catch (error) {
				last = error;
				if (!(error instanceof TunnelFailure) || isConclusive(error)) {
					throw error;
				}

				if (error.reason === TunnelFailureReason.Unavailable) {
					peerPaths.record(id, true, timers.now());
				}
			}
		}

		throw last;
	}
}
