import {setImmediate} from 'node:timers/promises';
import {wireControl, type Control} from '../../src/control-wiring.js';
import {ServerLimits} from '../../src/backpressure/server-limits.js';
import {Lease} from '../../src/leases/lease.js';
import {Metrics} from '../../src/observation/metrics.js';
import {ServerDirectory} from '../../src/pipelines/server-directory.js';
import {ServerHealthTracker} from '../../src/pipelines/server-health-tracker.js';
import {ServerLoad} from '../../src/pipelines/server-load.js';
import {ServerSlowdowns} from '../../src/pipelines/server-slowdowns.js';
import {type BackendServer} from '../../src/pipelines/backend-server.js';
import {ServerListReader} from '../../src/pipelines/server-list-reader.js';
import {type GossipMessage} from '../../src/peers/gossip-message.js';
import {type CrashReport} from '../../src/quarantine/crash-report.js';
import {Quarantine} from '../../src/quarantine/quarantine.js';
import {TableName} from '../../src/replication/table-name.js';
import {RandomSource} from '../../src/routing/random-source.js';
import {parseRouterSettings} from '../../src/settings/settings-reader.js';
import {ManualTimerService} from '../../src/time/manual-timer-service.js';
import {PeerPaths} from '../../src/tunnels/peer-paths.js';
import {RecordingLog, sampleServer} from './sample-fleet.js';
import {StoreHistory} from './store-history.js';

const networkDelayMs = 2;
const stepMs = 25;
const seedCount = 3;
/** Approximate bytes of the heads of a request and its response. */
const callOverheadBytes = 500;

/** The links of the instances. */
export type FleetNetwork = {
	/** Bytes that an instance sends in a second at most, one message after the other. */
	readonly bytesPerSecond: number;
	/** Milliseconds after which a call is aborted. */
	readonly callTimeout: number;
};

/** A quarantine that an instance read from the store's table. */
export type LearntQuarantine = {
	readonly part: string;
	/** Unix time in milliseconds. */
	readonly expiresAt: number;
};

/** An instance of the fleet, with what it believes. */
export type FleetInstance = {
	readonly id: string;
	readonly address: string;
	readonly control: Control;
	readonly directory: ServerDirectory;
	readonly serverHealth: ServerHealthTracker;
	readonly serverLoad: ServerLoad;
	readonly serverLimits: ServerLimits;
	readonly quarantine: Quarantine;
	readonly slowdowns: ServerSlowdowns;
	/** Incarnation ids that became suspected because of other instances. */
	readonly learntSuspicions: string[];
	readonly learntCrashes: CrashReport[];
	readonly learntCleared: Array<readonly string[]>;
	readonly learntQuarantines: LearntQuarantine[];
	messagesSent: number;
	bytesSent: number;
	callsMade: number;
	/** Bytes of the calls that this instance made, in both directions. */
	bytesExchanged: number;
	/** Part of the bytes that went to another availability zone. */
	farBytesSent: number;
	/** Prompt parts that this instance knows to be sound, and says so when another one suspects them. */
	answerToCrashes: readonly string[];
	/** Whether the process is stopped, so that it neither sends nor answers. */
	isStopped: boolean;
	/** Bytes that this instance sends in a second, if not those of the network. */
	bytesPerSecond?: number;
	/** Monotonic time in milliseconds at which the link has sent all messages so far. */
	linkFreeAt: number;
};

const serverTableDecoder = {
	decode: (id: string, text: string): BackendServer => sampleServer(id, 'large', undefined, {isLeaving: text === 'draining', availabilityZone: id.split('/')[0]}),
};

/** The control parts of many instances on one simulated network with one simulated store, all on one manual clock. */
export class ControlFleet {
	readonly timers = new ManualTimerService();
	readonly store = new StoreHistory(this.timers);
	readonly instances: readonly FleetInstance[];
	private readonly byAddress: ReadonlyMap<string, FleetInstance>;

	/**
	@param network - links of the instances; without limits if undefined
	*/
	constructor(size: number, private readonly zones: number, servers: number, private readonly network?: FleetNetwork) {
		this.store.put('catalog', 'config', '1');
		for (let index = 0; index < servers; index++) {
			this.store.put('servers', `zone-${index % zones}/server-${index}`, 'ready');
		}

		this.instances = Array.from({length: size}, (_, index) => this.createInstance(index));
		this.byAddress = new Map(this.instances.map(instance => [instance.address, instance]));
	}

	/** Starts instances; all of them at once, as after a deployment, if none are given. */
	start(instances = this.instances): void {
		for (const {control} of instances) {
			for (const watcher of control.tableWatchers) {
				watcher.start();
			}

			control.instanceRegistry.start();
			control.gossip.start();
			void this.join(control);
		}
	}

	/** Lets time pass. */
	async elapse(duration: number): Promise<void> {
		for (let passed = 0; passed < duration; passed += stepMs) {
			this.timers.advance(stepMs);
			await setImmediate(); // eslint-disable-line no-await-in-loop
		}
	}

	/** Lets time pass until the condition holds; returns the milliseconds, or Infinity if it did not hold in time. */
	async measureUntil(condition: () => boolean, limit: number): Promise<number> {
		for (let passed = 0; passed <= limit; passed += stepMs) {
			if (condition()) {
				return passed;
			}

			await this.elapse(stepMs); // eslint-disable-line no-await-in-loop
		}

		return Number.POSITIVE_INFINITY;
	}

	/** Sets all counters to zero. */
	resetCounters(): void {
		this.store.calls = 0;
		for (const instance of this.instances) {
			instance.messagesSent = 0;
			instance.bytesSent = 0;
			instance.farBytesSent = 0;
		}
	}

	get running(): readonly FleetInstance[] {
		return this.instances.filter(({isStopped}) => !isStopped);
	}

	private async join({gossip, tables}: Control): Promise<void> {
		while (!tables.get(TableName.Servers).position) {
			await gossip.join(this.instances.slice(0, seedCount).map(({address}) => address)); // eslint-disable-line no-await-in-loop
			await this.timers.sleep(400); // eslint-disable-line no-await-in-loop
		}

		await this.timers.sleep(1500);
		await gossip.join(this.instances.slice(0, seedCount).map(({address}) => address));
	}

	private createInstance(index: number): FleetInstance {
		const id = `entry-${index}`;
		const address = `10.0.${index % this.zones}.${index}:7000`;
		const log = new RecordingLog(this.timers);
		const directory = new ServerDirectory(this.timers, log);
		const serverHealth = new ServerHealthTracker({
			suspicion: 2000, maxSuspicion: 8000, saturationBackoff: 250, trialPause: 700,
		}, log);
		const serverLoad = new ServerLoad();
		const quarantine = new Quarantine(100);
		const slowdowns = new ServerSlowdowns(3000);
		const serverLimits: ServerLimits = new ServerLimits({
			self: id,
			findInstances: () => control.instanceRegistry.findSharing(),
			log,
			onChange() {
				control.gossip.reportLimitChange();
			},
		});
		const learntSuspicions: string[] = [];
		const learntCrashes: CrashReport[] = [];
		const learntCleared: Array<readonly string[]> = [];
		const learntQuarantines: LearntQuarantine[] = [];
		const settings = parseRouterSettings('fleet.ini', [
			'[instance]',
			`id = ${id}`,
			`availability_zone = zone-${index % this.zones}`,
			`callers = ${address}`,
			`readiness = ${address}`,
			`peers = ${address}`,
			`metrics = ${address}`,
			'[store]',
			'address = 10.9.9.9:1',
			'join_patience = 3 s',
			'[seeds]',
			`peers = ${Array.from({length: seedCount}, (_, seed) => `10.0.${seed % this.zones}.${seed}:7000`).join(',')}`,
		].join('\n'));
		const control: Control = wireControl(settings, {
			timers: this.timers,
			log,
			metrics: new Metrics(),
			random: new RandomSource(index + 1),
			directory,
			serverHealth,
			serverLoad,
			serverLimits,
			slowdowns,
			quarantine,
			lease: new Lease(id, 2500),
			peerPaths: new PeerPaths(() => false),
			clients: {
				exchange: async (target, message) => this.deliver(instance, target, message),
				get traffic() {
					return {calls: instance.callsMade, bytes: instance.bytesExchanged};
				},
			},
			instanceTable: this.store.openTable('instances', id),
			quarantineTable: this.store.openTable('quarantine', id),
			feeds: {
				[TableName.Catalog]: this.store.openFeed('catalog', id),
				[TableName.Servers]: this.store.openFeed('servers', id),
				[TableName.Instances]: this.store.openFeed('instances', id),
				[TableName.Quarantine]: this.store.openFeed('quarantine', id),
			},
		}, {
			onInstancesChange: () => undefined,
			onSuspicion(server) {
				learntSuspicions.push(server.id);
			},
			onCrashReport(report) {
				learntCrashes.push(report);
				if (instance.answerToCrashes.length > 0) {
					control.gossip.reportCleared(instance.answerToCrashes);
				}
			},
			onCleared(parts) {
				learntCleared.push(parts);
			},
			onQuarantine(part, expiresAt) {
				learntQuarantines.push({part, expiresAt});
			},
			onQuarantineReport: (part, expiresAt) => {
				quarantine.add(part, expiresAt - this.timers.wallClock() + this.timers.now());
			},
		});
		const reader = new ServerListReader({
			decoder: serverTableDecoder, directory, log, onRead: () => undefined,
		}, 2200);
		control.tables.onChange(TableName.Servers, table => {
			reader.update(table);
		});
		control.tables.onConfirmation(TableName.Servers, table => {
			reader.confirm(table);
		});
		const instance: FleetInstance = {
			id, address, control, directory, serverHealth, serverLoad, serverLimits, quarantine, slowdowns, learntSuspicions, learntCrashes, learntCleared, learntQuarantines,
			messagesSent: 0, bytesSent: 0, callsMade: 0, bytesExchanged: 0, farBytesSent: 0, isStopped: false, linkFreeAt: 0, answerToCrashes: [],
		};
		return instance;
	}

	private countBytes(sender: FleetInstance, recipient: FleetInstance, message: GossipMessage): number {
		const bytes = JSON.stringify(message).length;
		sender.bytesSent += bytes;
		sender.farBytesSent += sender.address.split('.')[2] === recipient.address.split('.')[2] ? 0 : bytes;
		return bytes;
	}

	private async deliver(sender: FleetInstance, target: string, message: GossipMessage): Promise<GossipMessage> {
		const recipient = this.byAddress.get(target);
		if (sender.isStopped || !recipient || recipient.isStopped) {
			throw new Error('no response');
		}

		const deadline = this.timers.now() + (this.network?.callTimeout ?? Number.POSITIVE_INFINITY);
		sender.messagesSent++;
		sender.callsMade++;
		const requestBytes = this.countBytes(sender, recipient, message);
		sender.bytesExchanged += callOverheadBytes + requestBytes;
		await this.transfer(sender, requestBytes, deadline);
		const answer = recipient.control.gossip.exchange(message);
		const answerBytes = this.countBytes(recipient, sender, answer);
		sender.bytesExchanged += answerBytes;
		await this.transfer(recipient, answerBytes, deadline);
		return answer;
	}

	/** Waits until an instance's link has sent a message. Throws when the call is aborted, which does not stop the sender. */
	private async transfer(from: FleetInstance, bytes: number, deadline: number): Promise<void> {
		const now = this.timers.now();
		from.linkFreeAt = Math.max(from.linkFreeAt, now) + (this.network ? bytes / (from.bytesPerSecond ?? this.network.bytesPerSecond) * 1000 : 0);
		const arrivesAt = from.linkFreeAt + networkDelayMs;
		await this.timers.sleep(Math.min(arrivesAt, deadline) - now);
		if (arrivesAt > deadline) {
			throw new Error('aborted');
		}
	}
}
