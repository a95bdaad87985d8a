import process from 'node:process';
import {type Logger} from 'winston';
import {type ActionExecutor} from './actions/action-executor.js';
import {type LoadPoller} from './backends/load-poller.js';
import {type CallerInterface} from './callers/caller-interface.js';
import {type ConfigurationWatcher} from './configuration/configuration-watcher.js';
import {type ActiveConfiguration} from './configuration/active-configuration.js';
import {type CompletionService} from './completions/completion-service.js';
import {type LeaseManager} from './leases/lease-manager.js';
import {type OrderDispatcher} from './leases/order-dispatcher.js';
import {type Lifecycle} from './lifecycle.js';
import {type Membership} from './membership/membership.js';
import {type Invariants} from './observation/invariants.js';
import {type Metrics} from './observation/metrics.js';
import {type Tracing} from './observation/tracing.js';
import {type PeerRequestHandler} from './peers/peer-request-handler.js';
import {type PeerInterface} from './peers/peer-interface.js';
import {type InstanceListWatcher} from './store/instance-list-watcher.js';
import {ResultCode} from './results/result-code.js';
import {getErrorMessage} from './results/to-failure.js';
import {type Fleet} from './routing/fleet.js';
import {type Settings} from './settings/settings.js';
import {SettingsError} from './settings/settings-error.js';
import {splitAddress} from './settings/split-address.js';
import {type TimerService} from './time/timer-service.js';
import {type UsageMeter} from './usage/usage-meter.js';

/** The parts of an entry instance. */
export type InstanceParts = {
	readonly timers: TimerService;
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly invariants: Invariants;
	readonly tracing: Tracing;
	readonly lifecycle: Lifecycle;
	readonly callers: CallerInterface;
	readonly peerInterface: PeerInterface;
	readonly peerDesk: PeerRequestHandler;
	readonly follower: ConfigurationWatcher;
	readonly keeper: ActiveConfiguration;
	readonly instanceWatch: InstanceListWatcher;
	readonly loadWatch: LoadPoller;
	readonly drafts: CompletionService;
	readonly ledger: ActionExecutor;
	readonly meter: UsageMeter;
	readonly membership: Membership;
	readonly fleet: Fleet;
	readonly leaseKeeper: LeaseManager;
	readonly orderDesk: OrderDispatcher;
};

const loadPeriodMs = 1000;
const leasePeriodMs = 2000;
const orderPeriodMs = 1000;
const stopPollMs = 50;

/** An entry instance from start to stop. */
export class Instance {
	constructor(private readonly settings: Settings, private readonly parts: InstanceParts) {}

	/** Starts all parts. Throws SettingsError where an address cannot be had. */
	async start(): Promise<void> {
		const {settings, parts} = this;
		this.publishMetrics();
		await this.listen(settings.instance.peers, async (host, port) => parts.peerInterface.listen(host, port));
		await this.listen(settings.instance.callers, async (host, port) => parts.callers.listen(host, port));
		await parts.instanceWatch.poll();
		await parts.follower.poll();
		if (parts.keeper.version() < 0) {
			await parts.peerDesk.syncFromSeeds(settings.peers.seeds);
		}

		parts.loadWatch.poll();
		this.subscribe();
		parts.log.info(`Instance ${settings.instance.id} serves callers at ${settings.instance.callers} and peers at ${settings.instance.peers}.`);
	}

	/** Begins a planned stop. */
	requestStop(): void {
		this.parts.lifecycle.requestStop();
	}

	/**
	Resolves when the planned stop is done: readiness goes first, streams run to their end, charges and outcomes are written.

	@returns whether everything in flight was ended before the limit
	*/
	async stopped(): Promise<boolean> {
		const {settings, parts} = this;
		await new Promise<void>(resolve => {
			parts.lifecycle.onStop(resolve);
		});
		parts.log.info('The planned stop begins; readiness is withdrawn.');
		await parts.timers.sleep(settings.stop.notice);
		parts.callers.stopListening();
		const limit = parts.timers.now() + settings.stop.limit;
		while (parts.callers.inFlight > 0 && parts.timers.now() < limit) {
			await parts.timers.sleep(stopPollMs); // eslint-disable-line no-await-in-loop
		}

		const isWhole = parts.callers.inFlight === 0;
		await parts.meter.flush();
		await parts.ledger.flush(Math.max(0, limit - parts.timers.now()));
		parts.peerInterface.close();
		parts.callers.close();
		parts.log.info(isWhole ? 'The planned stop is done.' : `The planned stop cut off ${parts.callers.inFlight} requests.`);
		await parts.tracing.close();
		return isWhole;
	}

	private async listen(address: string, work: (host: string, port: number) => Promise<void>): Promise<void> {
		const {host, port} = splitAddress(address);
		try {
			await work(host, port);
		} catch (error) {
			throw new SettingsError(ResultCode.AddressUnavailable, `${address} cannot be listened on: ${getErrorMessage(error)}`);
		}
	}

	private subscribe(): void {
		const {settings, parts} = this;
		parts.timers.repeat(settings.platform.list_period, () => {
			void parts.instanceWatch.poll();
		});
		parts.timers.repeat(settings.platform.configuration_period, () => {
			void parts.follower.poll();
		});
		parts.timers.repeat(settings.peers.probe_period, () => {
			void parts.peerDesk.probeNext();
		});
		parts.timers.repeat(leasePeriodMs, () => {
			void parts.leaseKeeper.acquireOrRenew();
		});
		parts.timers.repeat(orderPeriodMs, () => {
			void parts.orderDesk.dispatch();
		});
		parts.timers.repeat(loadPeriodMs, () => {
			parts.loadWatch.poll();
			if (parts.keeper.version() < 0) {
				void parts.peerDesk.syncFromSeeds(settings.peers.seeds);
			}
		});
	}

	private publishMetrics(): void {
		const {metrics, invariants, drafts, ledger, keeper, membership} = this.parts;
		metrics.gauge('siskinnotch_drafts', () => drafts.size);
		metrics.gauge('siskinnotch_drafts_waiting', () => drafts.waiting);
		metrics.gauge('siskinnotch_outcomes_waiting', () => ledger.countPendingOutcomes());
		metrics.gauge('siskinnotch_configuration_version', () => keeper.version());
		metrics.gauge('siskinnotch_peers_alive', () => membership.alive().length);
		metrics.gauge('siskinnotch_heap_bytes', () => process.memoryUsage().heapUsed);
		metrics.gauge('siskinnotch_resident_bytes', () => process.memoryUsage().rss);
		metrics.gauge('siskinnotch_cpu_microseconds', () => process.cpuUsage().user + process.cpuUsage().system);
		metrics.gauge('siskinnotch_invariant_violations', () => [...invariants.violations().values()].reduce((sum, count) => sum + count, 0));
	}
}
