import process from 'node:process';
import {type Logger} from 'winston';
import {type ActionExecutor} from './actions/action-executor.js';
import {type LoadPoller} from './backends/load-poller.js';
import {type CallerInterface} from './callers/caller-interface.js';
import {type CompletionService} from './completions/completion-service.js';
import {type ActiveConfiguration} from './configuration/active-configuration.js';
import {type ConfigurationWatcher} from './configuration/configuration-watcher.js';
import {type LeaseManager} from './leases/lease-manager.js';
import {type OrderDispatcher} from './leases/order-dispatcher.js';
import {type Lifecycle} from './lifecycle.js';
import {type Membership} from './membership/membership.js';
import {type Invariants} from './observation/invariants.js';
import {type Metrics} from './observation/metrics.js';
import {type Tracing} from './observation/tracing.js';
import {type PeerInterface} from './peers/peer-interface.js';
import {type PeerRequestHandler} from './peers/peer-request-handler.js';
import {type InstanceListWatcher} from './store/instance-list-watcher.js';
import {ResultCode} from './results/result-code.js';
import {getErrorMessage} from './results/to-failure.js';
import {type Fleet} from './routing/fleet.js';
import {type Settings} from './settings/settings.js';
import {SettingsError} from './settings/settings-error.js';
import {splitAddress} from './settings/split-address.js';
import {type TimerService} from './time/timer-service.js';
import {type UsageMeter} from './usage/usage-meter.js';

/** Dependencies of an entry instance. */
export type InstanceDependencies = {
	readonly timers: TimerService;
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly invariants: Invariants;
	readonly tracing: Tracing;
	readonly lifecycle: Lifecycle;
	readonly callers: CallerInterface;
	readonly peerInterface: PeerInterface;
	readonly peerRequestHandler: PeerRequestHandler;
	readonly configurationWatcher: ConfigurationWatcher;
	readonly activeConfiguration: ActiveConfiguration;
	readonly instanceListWatcher: InstanceListWatcher;
	readonly loadPoller: LoadPoller;
	readonly completions: CompletionService;
	readonly actionExecutor: ActionExecutor;
	readonly usageMeter: UsageMeter;
	readonly membership: Membership;
	readonly fleet: Fleet;
	readonly leaseManager: LeaseManager;
	readonly orderDispatcher: OrderDispatcher;
};

const loadPollIntervalMs = 1000;
const leaseIntervalMs = 2000;
const orderDispatchIntervalMs = 1000;
const drainPollIntervalMs = 50;

/** Runs an entry instance from startup to graceful shutdown. */
export class Instance {
	constructor(private readonly settings: Settings, private readonly dependencies: InstanceDependencies) {}

	/** Opens the listeners, loads the first state and starts the periodic work. Throws SettingsError if an address cannot be bound. */
	async start(): Promise<void> {
		const {settings, dependencies} = this;
		this.registerGauges();
		await this.listen(settings.instance.peers, async (host, port) => dependencies.peerInterface.listen(host, port));
		await this.listen(settings.instance.callers, async (host, port) => dependencies.callers.listen(host, port));
		await dependencies.instanceListWatcher.poll();
		await dependencies.configurationWatcher.poll();
		if (dependencies.activeConfiguration.version() < 0) {
			await dependencies.peerRequestHandler.syncFromSeeds(settings.peers.seeds);
		}

		dependencies.loadPoller.poll();
		this.startPeriodicWork();
		dependencies.log.info(`Instance ${settings.instance.id} is listening for callers on ${settings.instance.callers} and for peers on ${settings.instance.peers}.`);
	}

	/** Starts a graceful shutdown. */
	requestStop(): void {
		this.dependencies.lifecycle.requestStop();
	}

	/**
	Waits until a graceful shutdown has been requested and has finished: withdraws readiness, lets requests in flight complete, then writes pending charges and outcomes.

	@returns whether all requests completed before the limit
	*/
	async waitUntilStopped(): Promise<boolean> {
		const {settings, dependencies} = this;
		await new Promise<void>(resolve => {
			dependencies.lifecycle.onStop(resolve);
		});
		dependencies.log.info('Graceful shutdown started; readiness is withdrawn.');
		await dependencies.timers.sleep(settings.stop.notice);
		dependencies.lifecycle.refuseRequests();
		const drainDeadline = dependencies.timers.now() + settings.stop.limit;
		await this.drainCallers(drainDeadline);
		dependencies.callers.stopListening();
		const isDrained = dependencies.callers.inFlight === 0;
		await dependencies.usageMeter.flush();
		await dependencies.actionExecutor.flush(Math.max(0, drainDeadline - dependencies.timers.now()));
		dependencies.peerInterface.close();
		dependencies.callers.close();
		dependencies.log.info(isDrained ? 'Graceful shutdown finished.' : `Graceful shutdown aborted ${dependencies.callers.inFlight} requests at the time limit.`);
		await dependencies.tracing.close();
		return isDrained;
	}

	/** Waits until no reply and no connection that waits to be accepted is left, at most until a monotonic time in milliseconds. */
	private async drainCallers(deadline: number): Promise<void> {
		const {callers, timers} = this.dependencies;
		while (timers.now() < deadline) {
			await callers.closeIdle(); // eslint-disable-line no-await-in-loop
			const hasOpened = await callers.acceptArrived(); // eslint-disable-line no-await-in-loop
			if (!hasOpened && callers.inFlight === 0) {
				return;
			}

			await timers.sleep(drainPollIntervalMs); // eslint-disable-line no-await-in-loop
		}
	}

	private async listen(address: string, listenOn: (host: string, port: number) => Promise<void>): Promise<void> {
		const {host, port} = splitAddress(address);
		try {
			await listenOn(host, port);
		} catch (error) {
			throw new SettingsError(ResultCode.AddressUnavailable, `cannot listen on ${address}: ${getErrorMessage(error)}`);
		}
	}

	private startPeriodicWork(): void {
		const {settings, dependencies} = this;
		dependencies.timers.repeat(settings.platform.list_period, () => {
			void dependencies.instanceListWatcher.poll();
		});
		dependencies.timers.repeat(settings.platform.configuration_period, () => {
			void dependencies.configurationWatcher.poll();
		});
		dependencies.timers.repeat(settings.peers.probe_period, () => {
			void dependencies.peerRequestHandler.probeNext();
		});
		dependencies.timers.repeat(leaseIntervalMs, () => {
			void dependencies.leaseManager.acquireOrRenew();
		});
		dependencies.timers.repeat(orderDispatchIntervalMs, () => {
			void dependencies.orderDispatcher.dispatch();
		});
		dependencies.timers.repeat(loadPollIntervalMs, () => {
			dependencies.loadPoller.poll();
			if (dependencies.activeConfiguration.version() < 0) {
				void dependencies.peerRequestHandler.syncFromSeeds(settings.peers.seeds);
			}
		});
	}

	private registerGauges(): void {
		const {metrics, invariants, completions, actionExecutor, activeConfiguration, membership} = this.dependencies;
		metrics.gauge('siskinnotch_drafts', () => completions.size);
		metrics.gauge('siskinnotch_drafts_waiting', () => completions.waiting);
		metrics.gauge('siskinnotch_outcomes_waiting', () => actionExecutor.countPendingOutcomes());
		metrics.gauge('siskinnotch_configuration_version', () => activeConfiguration.version());
		metrics.gauge('siskinnotch_peers_alive', () => membership.alive().length);
		metrics.gauge('siskinnotch_heap_bytes', () => process.memoryUsage().heapUsed);
		metrics.gauge('siskinnotch_resident_bytes', () => process.memoryUsage().rss);
		metrics.gauge('siskinnotch_cpu_microseconds', () => process.cpuUsage().user + process.cpuUsage().system);
		metrics.gauge('siskinnotch_invariant_violations', () => [...invariants.violations().values()].reduce((sum, count) => sum + count, 0));
	}
}
