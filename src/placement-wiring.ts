import {type Logger} from 'winston';
import {LeaseManager} from './leases/lease-manager.js';
import {createPartLog} from './observation/log.js';
import {getIncarnationId, type BackendServer} from './pipelines/backend-server.js';
import {type LayerRange} from './pipelines/layer-range.js';
import {type PlacementControllerDependencies} from './placement/placement-controller-dependencies.js';
import {PlacementController} from './placement/placement-controller.js';
import {ZoneRebalancer, type ZoneRebalancerDependencies} from './placement/zone-rebalancer.js';
import {type RouterSettings} from './settings/router-settings.js';
import {type Table} from './store/table.js';

/** What placement is built from. */
export type PlacementDependencies = Omit<PlacementControllerDependencies, 'rebalancer' | 'onRangeConfirmed'> & Pick<ZoneRebalancerDependencies, 'getTokens'> & {
	/** Holds the row of the placement lease. */
	readonly leaseTable: Table;
	readonly logger: Logger;
	/** Tells the other instances that a server has loaded the ordered range. */
	readonly reportRange: (server: BackendServer, range: LayerRange) => void;
};

/** The parts that decide which layers the backend servers load. */
export type PlacementParts = {
	readonly leaseManager: LeaseManager;
	readonly placementController: PlacementController;
};

/** Creates the parts that place layers while this instance holds the lease. */
export function wirePlacement({placement}: Pick<RouterSettings, 'placement'>, dependencies: PlacementDependencies): PlacementParts {
	const {
		leaseTable, logger, reportRange, getTokens, ...controllerDependencies
	} = dependencies;
	const {lease, directory, timers, metrics, log} = controllerDependencies;
	const placementController = new PlacementController({
		...controllerDependencies,
		rebalancer: new ZoneRebalancer({metrics, log, getTokens}, placement.moves),
		onRangeConfirmed(server, range) {
			directory.overrideRange(getIncarnationId(server), range);
			reportRange(server, range);
		},
	}, {
		settlingTime: placement.settle,
		reserveTime: placement.spare,
		orderTimeout: placement.order,
		checkInterval: placement.check,
		refusalBackoff: placement.refusal,
	}, placement.room, placement.plan);
	return {leaseManager: new LeaseManager('placement', lease, {table: leaseTable, timers, log: createPartLog(logger, 'leases')}), placementController};
}
