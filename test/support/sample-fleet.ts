import {type BackendServer} from '../../src/pipelines/backend-server.js';
import {type LayerRange} from '../../src/pipelines/layer-range.js';
import {type DecisionFields, DecisionLog} from '../../src/observation/decision-log.js';
import {StoreRefusalExchange} from '../../src/peers/store-refusal-exchange.js';
import {TableExchange} from '../../src/peers/table-exchange.js';
import {StoreAccess} from '../../src/replication/store-access.js';
import {type TableSet} from '../../src/replication/table-set.js';
import {RandomSource} from '../../src/routing/random-source.js';
import {ManualTimerService} from '../../src/time/manual-timer-service.js';
import {silentLog} from './silent-log.js';

/** Creates a backend server of the sample model. */
export function sampleServer(id: string, card: string, range?: LayerRange, fields: Partial<BackendServer> = {}): BackendServer {
	return {
		id, address: `10.0.0.1:${8000 + id.length}`, service: 'model', availabilityZone: 'zone-a', isLeaving: false, startedAt: 1, slots: 134, card, range, ...fields,
	};
}

/** Creates the servers of one availability zone: one large, six middle and five small ones. */
export function sampleZone(zone = 'zone-a'): readonly BackendServer[] {
	const cards = ['large', ...Array.from({length: 6}, () => 'middle'), ...Array.from({length: 5}, () => 'small')];
	return cards.map((card, index) => sampleServer(`${zone}-${index}`, card, undefined, {availabilityZone: zone, address: `10.0.${zone.length}.${index}:8000`}));
}

/** Creates the access of an instance that lacks no copy, with short pauses. */
export function createStoreAccess(): StoreAccess {
	return new StoreAccess(new RandomSource(1), {retryPause: 200, maxRetryPause: 400, quickAttempts: 0}, {isLackingCopy: () => false, onChange: () => undefined});
}

/** Creates the exchange of tables of an instance that the store serves. */
export function createTableExchange(tables: TableSet): TableExchange {
	return new TableExchange(tables, new StoreRefusalExchange({id: 'self', availabilityZone: 'zone-a'}, new ManualTimerService(), 30_000, () => undefined));
}

/** A log that stores its lines for assertions. */
export class RecordingLog extends DecisionLog {
	readonly lines: Array<{readonly kind: string; readonly fields: DecisionFields}> = [];

	constructor(timers = new ManualTimerService()) {
		super(silentLog, timers, {perSecond: 1000, burst: 1000});
	}

	override write(kind: string, fields: DecisionFields): void {
		this.lines.push({kind, fields});
	}

	override warn(kind: string, fields: DecisionFields): void {
		this.lines.push({kind, fields});
	}
}
