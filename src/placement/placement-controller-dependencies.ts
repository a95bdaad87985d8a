import {type Backpressure} from '../backpressure/backpressure.js';
import {type ActiveCatalog} from '../catalog/active-catalog.js';
import {type Lease} from '../leases/lease.js';
import {type DecisionLog} from '../observation/decision-log.js';
import {type Metrics} from '../observation/metrics.js';
import {type BackendServer} from '../pipelines/backend-server.js';
import {type LayerRange} from '../pipelines/layer-range.js';
import {type ServerHealthTracker} from '../pipelines/server-health-tracker.js';
import {type ServerDirectory} from '../pipelines/server-directory.js';
import {type StageReporter} from '../pipelines/stage-reporter.js';
import {type TimerService} from '../time/timer-service.js';
import {type OrderSender} from './order-sender.js';
import {type ZoneRebalancer} from './zone-rebalancer.js';

export type PlacementControllerDependencies = {
	readonly lease: Lease;
	readonly catalog: ActiveCatalog;
	readonly directory: ServerDirectory;
	readonly serverHealth: ServerHealthTracker;
	readonly backpressure: Backpressure;
	readonly reporter: StageReporter;
	readonly sender: OrderSender;
	readonly timers: TimerService;
	readonly metrics: Metrics;
	readonly log: DecisionLog;
	/** Moves loaded servers when the demand lastingly comes near the capacity. */
	readonly rebalancer: ZoneRebalancer;
	/** Called when a server has loaded the ordered range, or at once if the order only drops layers. */
	readonly onRangeConfirmed: (server: BackendServer, range: LayerRange) => void;
};

/** Timings of placement, in milliseconds. */
export type PlacementTimings = {
	/** Time without newly listed servers before the initial placement. */
	readonly settlingTime: number;
	/** How long a server without layers is held in reserve for uncovered layers before it adds capacity to others. */
	readonly reserveTime: number;
	/** How long a server that refused an order gets no further one. */
	readonly refusalBackoff: number;
	/** Interval between checks whether an order has been carried out. */
	readonly checkInterval: number;
	/** How long the result of an order may take in addition to the loading time. */
	readonly orderTimeout: number;
};
