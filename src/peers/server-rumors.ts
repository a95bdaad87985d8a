import {getIncarnationId, type BackendServer} from '../pipelines/backend-server.js';
import {type LayerRange} from '../pipelines/layer-range.js';
import {type ServerDirectory} from '../pipelines/server-directory.js';
import {type ServerHealthTracker} from '../pipelines/server-health-tracker.js';
import {SuspicionCause} from '../pipelines/suspicion-cause.js';
import {type GossipMessage, type LoadedRange, type Suspicion} from './gossip-message.js';
import {RumorBuffer, type RumorHeader} from './rumor-buffer.js';
import {type SuspicionQuorum} from './suspicion-quorum.js';

export type ServerRumorsDependencies = {
	readonly suspicionQuorum: SuspicionQuorum;
	readonly directory: ServerDirectory;
	readonly serverHealth: ServerHealthTracker;
	/** Called when a backend server becomes suspected because of reports of other instances. */
	readonly onSuspicion: (server: BackendServer, reason: string) => void;
};

/** Durations in milliseconds. */
export type RumorTimings = {
	/** For which suspicions and ranges are passed on. */
	readonly rumorLifetime: number;
	/** For which suspicions and ranges are recognized. */
	readonly rumorMemory: number;
};

/** The suspicions and ordered ranges of backend servers that are passed on among the instances. Of the suspicions of one server, only as many are passed on as make the others suspect it, however many instances notice. */
export class ServerRumors {
	private readonly suspicions: RumorBuffer<Suspicion>;
	private readonly ranges: RumorBuffer<LoadedRange>;
	private count = 0;

	/**
	@param self - id of this instance
	@param epoch - distinguishes the rumors of this process from those of an earlier one with the same id
	*/
	constructor(private readonly self: string, private readonly epoch: number, private readonly dependencies: ServerRumorsDependencies, {rumorLifetime, rumorMemory}: RumorTimings) {
		this.suspicions = new RumorBuffer(rumorLifetime, rumorMemory);
		this.ranges = new RumorBuffer(rumorLifetime, rumorMemory);
	}

	/**
	Starts a rumor that this instance found a backend server not to work, unless enough instances have said so.

	@returns whether it started
	*/
	addSuspicion(server: BackendServer, {isBlocking, reason}: Pick<Suspicion, 'isBlocking' | 'reason'>, now: number): boolean {
		const {suspicionQuorum} = this.dependencies;
		const life = getIncarnationId(server);
		if (suspicionQuorum.isSufficient(life, now)) {
			return false;
		}

		suspicionQuorum.report({incarnationId: life, isBlocking, from: this.self}, now);
		this.suspicions.add([{
			...this.createHeader(), life, isBlocking, reason,
		}], now);
		return true;
	}

	/** Starts a rumor that a backend server loaded a range by order. */
	addRange(server: BackendServer, {from, to}: LayerRange, now: number): void {
		this.ranges.add([{
			...this.createHeader(), life: getIncarnationId(server), from, to,
		}], now);
	}

	/** Returns the rumors to pass on. */
	getCurrent(now: number): Pick<GossipMessage, 'suspicions' | 'ranges'> {
		return {suspicions: [...this.suspicions.getCurrent(now)], ranges: [...this.ranges.getCurrent(now)]};
	}

	/** Applies the rumors of a message; returns whether any was unknown. */
	receive({suspicions, ranges}: Pick<GossipMessage, 'suspicions' | 'ranges'>, now: number): boolean {
		const unknownSuspicions = suspicions.filter(suspicion => this.isForeign(suspicion) && this.receiveSuspicion(suspicion, now));
		this.dependencies.suspicionQuorum.removeOld(now);

		const unknownRanges = this.ranges.add(ranges.filter(rumor => this.isForeign(rumor)), now);
		for (const {life: incarnationId, from, to} of unknownRanges) {
			this.dependencies.directory.overrideRange(incarnationId, {from, to});
		}

		return unknownSuspicions.length > 0 || unknownRanges.length > 0;
	}

	/** Returns whether the suspicion was unknown and tells something new. */
	private receiveSuspicion(suspicion: Suspicion, now: number): boolean {
		if (this.dependencies.suspicionQuorum.isSufficient(suspicion.life, now)) {
			this.suspicions.ignore(suspicion, now);
			return false;
		}

		const isUnknown = this.suspicions.add([suspicion], now).length > 0;
		if (isUnknown) {
			this.applySuspicion(suspicion, now);
		}

		return isUnknown;
	}

	private isForeign({origin}: RumorHeader): boolean {
		return origin !== this.self;
	}

	private createHeader(): RumorHeader {
		this.count++;
		return {
			origin: this.self, epoch: this.epoch, number: this.count, age: 0,
		};
	}

	private applySuspicion({origin, life: incarnationId, isBlocking, reason}: Suspicion, now: number): void {
		const {suspicionQuorum, directory, serverHealth, onSuspicion} = this.dependencies;
		if (!suspicionQuorum.report({incarnationId, isBlocking, from: origin}, now)) {
			return;
		}

		const server = directory.all().find(listed => getIncarnationId(listed) === incarnationId);
		const foundReason = `${origin}: ${reason}`;
		if (server && serverHealth.suspect(server, foundReason, now, SuspicionCause.Reported)) {
			onSuspicion(server, foundReason);
		}
	}
}
