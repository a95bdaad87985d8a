import {BodyBudget} from '../../src/network/body-budget.js';
import {BodyReceiver} from '../../src/network/body-receiver.js';
import {Metrics} from '../../src/observation/metrics.js';
import {type TimerService} from '../../src/time/timer-service.js';
import {RecordingLog} from './sample-fleet.js';

/** Creates the reception of bodies with a budget in bytes. */
export function createBodyReceiver(timers: TimerService, capacity = 48_000_000): BodyReceiver {
	return new BodyReceiver({
		budget: new BodyBudget(capacity), maxConnections: 1000, timers, metrics: new Metrics(), log: new RecordingLog(),
	});
}
