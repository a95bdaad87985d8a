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

/** Servers that are tried at a time to find out whether this instance reaches any, and the fraction of the time for that: few at first, and more if none of them is reached. */
const probeGroups = [{size: 2, timeFraction: 1 / 3}, {size: 4, timeFraction: 2 / 3}];

/** An attempt to reach any server but one. */
type Probe = {
	/** Address of the server that is not tried. */
	readonly excluded: string;
	/** Resolves to the address that was reached; to undefined if none was. */
	readonly reached: Promise<string | undefined>;
};

/** Opens connections from this instance itself, and finds out from them whether the instance is partitioned. */
export class OwnPaths extends Connector {
	private isProving = false;
	/** A probe in progress for other instances. */
	private pendingProbe?: Probe;

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
		if (this.dependencies.findAddresses().every(address => address === excluded)) {
			return true;
		}

		const probe = this.pendingProbe ?? this.startProbe(excluded);
		const reached = await probe.reached;
		const isAnswer = probe.excluded === excluded || (reached !== undefined && reached !== excluded);
		return (isAnswer ? reached : await this.probe(new Set([excluded]))) !== undefined;
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
		const reached = await this.probe(failed);
		this.isProving = false;
		if (reached === undefined && paths.maybePartitioned && paths.recordPartition()) {
			log.warn('paths.partitioned', {failed: failed.size});
			onBroken(undefined);
		}
	}

	/** Starts a probe whose result other instances share that ask meanwhile. */
	private startProbe(excluded: string): Probe {
		const run = async () => {
			try {
				return await this.probe(new Set([excluded]));
			} finally {
				this.pendingProbe = undefined;
			}
		};

		const probe = {excluded, reached: run()};
		this.pendingProbe = probe;
		return probe;
	}

	/** Returns the address of one of a few random servers, other than the excluded ones, that this instance reaches; undefined if it reaches none of them. */
	private async probe(excluded: ReadonlySet<string>): Promise<string | undefined> {
		const candidates = this.dependencies.findAddresses().filter(address => !excluded.has(address));
		for (const {size, timeFraction} of probeGroups) {
			const reached = await this.probeGroup(candidates, size, this.timings.probeTimeout * timeFraction); // eslint-disable-line no-await-in-loop
			if (reached !== undefined) {
				return reached;
			}
		}

		return undefined;
	}

	/** Takes a group of random servers out of the candidates; returns the address of the first one that is reached. */
	private async probeGroup(candidates: string[], size: number, timeout: number): Promise<string | undefined> {
		const {random, timers} = this.dependencies;
		const probes: Array<Promise<string>> = [];
		while (probes.length < size && candidates.length > 0) {
			const [address] = candidates.splice(random.nextInteger(candidates.length), 1);
			probes.push(this.probeServer(address));
		}

		try {
			return await timers.withTimeout(Promise.any(probes), timeout, () => new Error('no server answered in time'));
		} catch {
			return undefined;
		}
	}

	private async probeServer(address: string): Promise<string> {
		const socket = await this.connect(address, ConnectionPurpose.Probe);
		socket.destroy();
		return address;
	}
}
