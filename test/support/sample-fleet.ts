import {type BackendServer} from '../../src/pipelines/backend-server.js';
import {type EngineModel} from '../../src/pipelines/engine-model.js';
import {type LayerRange} from '../../src/pipelines/layer-range.js';
import {type DecisionFields, DecisionLog} from '../../src/observation/decision-log.js';
import {ManualTimerService} from '../../src/time/manual-timer-service.js';
import {silentLog} from './silent-log.js';

/** A model of 80 layers on three kinds of accelerators. */
export const sampleModel: EngineModel = {
	layers: 80,
	layerMegabytes: 1750,
	tokenBytes: 1_315_343,
	slots: 134,
	step: 1.02,
	stepOfRequest: 0.01,
	stepOfContext: 0.0137,
	readRate: 105,
	tokensOfEvent: 3,
	activationBytes: 65_767,
	pipeMegabits: 18_000,
	usualPrompt: 774,
	usualAnswer: 203,
	loadTime: 14_000,
	cards: new Map([
		['large', {
			name: 'large', megabytes: 72_000, pace: 2.4, readFactor: 3.2,
		}],
		['middle', {
			name: 'middle', megabytes: 43_200, pace: 5.6, readFactor: 2.7,
		}],
		['small', {
			name: 'small', megabytes: 21_600, pace: 16, readFactor: 8.2,
		}],
	]),
};

/** A backend server of the sample model. */
export function sampleServer(id: string, card: string, range?: LayerRange, fields: Partial<BackendServer> = {}): BackendServer {
	return {
		id, address: `10.0.0.1:${8000 + id.length}`, service: 'model', availabilityZone: 'zone-a', isLeaving: false, startedAt: 1, slots: 134, card, range, ...fields,
	};
}

/** The servers of one availability zone: one large, six middle and five small ones. */
export function sampleZone(zone = 'zone-a'): readonly BackendServer[] {
	const cards = ['large', ...Array.from({length: 6}, () => 'middle'), ...Array.from({length: 5}, () => 'small')];
	return cards.map((card, index) => sampleServer(`${zone}-${index}`, card, undefined, {availabilityZone: zone, address: `10.0.${zone.length}.${index}:8000`}));
}

/** A log that keeps what is written. */
export class KeptLog extends DecisionLog {
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
