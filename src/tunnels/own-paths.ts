import {type Socket} from 'node:net';
import {type DecisionLog} from '../observation/decision-log.js';
import {type RandomSource} from '../routing/random-source.js';
import {type TimerService} from '../time/timer-service.js';
import {ConnectionFailureCause} from './connection-failure-cause.js';
import {ConnectionFailure} from './connection-failure.js';
import {ConnectionPurpose} from './connection-purpose.js';
import {Connector} from './connector.js';
import {type PathTracker} from './path-tracker.js';

export type OwnPathDependencies = {
	/** Opens connections from this instance itself. */
	readonly direct: Connector;
	readonly paths: PathTracker;
	/** Addresses of all listed backend servers. */
	readonly findAddresses: () => readonly string[];
	readonly random: RandomSource;
	readonly timers: TimerService;
	readonly log: DecisionLog;
	/** Called when the own path to a server turns out to be broken; all own paths are if the address is undefined. */
	readonly onBroken: (address: string | undefined) => void;
	/** Called when an own path works again after a partition. */
	readonly onRestored: () => void;
};

/** Timings of probes, in milliseconds. */
export type ProbeTimings = {
	/** Time in which one of several servers must be reached. */
	readonly probeTimeout: number;
	/** Interval between attempts of a partitioned instance to reach a server itself. */
	readonly probeInterval: number;
};

/** Servers that are tried at a time to find out whether this instance reaches any. */
const maxProbes = 6;

/** Opens connections from this instance itself, and finds out from them whether the instance is partitioned. */
export class OwnPaths extends Connector {
	private isProving = false;

	constructor(private readonly dependencies: OwnPathDependencies, private readonly timings: ProbeTimings) {
		super();
	}

	/** Starts looking for the end of a partition. */
	start(): void {
		this.dependencies.timers.repeat(this.timings.probeInterval, () => {
			if (this.dependencies.paths.isPartitioned) {
				void this.probe(new Set());
			}
		});
	}

	/** Whether the path to a server is not to be used now. */
	isBroken(address: string): boolean {
		return this.dependencies.paths.isBroken(address, this.dependencies.timers.now());
	}

	/** Whether this instance reaches a server other than the excluded one; also true if no other is listed, since then nothing speaks against the own path. */
	async reachesAnother(excluded: string): Promise<boolean> {
		return this.dependencies.findAddresses().every(address => address === excluded) || this.probe(new Set([excluded]));
	}

	async connect(address: string, purpose: ConnectionPurpose): Promise<Socket> {
		const {direct, paths, log, onRestored} = this.dependencies;
		const socket = await direct.connect(address, purpose);
		if (paths.recordSuccess(address)) {
			log.write('paths.restored', {address});
			onRestored();
		}

		return socket;
	}

	/** Records that a connection failed although another instance reaches the server, or nobody can tell. */
	recordFailure(address: string, error: unknown): void {
		const {paths, timers, log, onBroken} = this.dependencies;
		const wasBroken = this.isBroken(address);
		paths.recordFailure(address, error instanceof ConnectionFailure && error.reason === ConnectionFailureCause.Unanswered, timers.now());
		if (!wasBroken) {
			log.warn('path.broken', {address});
			onBroken(address);
		}

		if (!paths.isPartitioned && paths.maybePartitioned) {
			void this.provePartition();
		}
	}

	/** Finds out whether any server is reached, since several are not. */
	private async provePartition(): Promise<void> {
		const {paths, findAddresses, log, onBroken} = this.dependencies;
		if (this.isProving) {
			return;
		}

		this.isProving = true;
		const failed = new Set(findAddresses().filter(address => paths.hasFailed(address)));
		const isReaching = await this.probe(failed);
		this.isProving = false;
		if (!isReaching && paths.maybePartitioned && paths.recordPartition()) {
			log.warn('paths.partitioned', {failed: failed.size});
			onBroken(undefined);
		}
	}

	/** Whether this instance reaches any of a few random servers, other than the excluded ones. */
	private async probe(excluded: ReadonlySet<string>): Promise<boolean> {
		const {findAddresses, random, timers} = this.dependencies;
		const candidates = findAddresses().filter(address => !excluded.has(address));
		const probes: Array<Promise<true>> = [];
		while (probes.length < maxProbes && candidates.length > 0) {
			const [address] = candidates.splice(random.nextInteger(candidates.length), 1);
			probes.push(this.probeServer(address));
		}

		try {
			return await timers.withTimeout(Promise.any(probes), this.timings.probeTimeout, () => new Error('no server answered in time'));
		} catch {
			return false;
		}
	}

	private async probeServer(address: string): Promise<true> {
		const socket = await this.connect(address, ConnectionPurpose.Probe);
		socket.destroy();
		return true;
	}
}
