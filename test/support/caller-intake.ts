import {CallerIntake} from '../../src/network/caller-intake.js';
import {InputScheduler} from '../../src/network/input-scheduler.js';
import {RequestBudget} from '../../src/network/request-budget.js';
import {Metrics} from '../../src/observation/metrics.js';
import {afterInput} from '../../src/time/deferred-call.js';
import {type TimerService} from '../../src/time/timer-service.js';
import {RecordingLog} from './sample-fleet.js';

/** Creates the intake of a process with a budget in bytes for requests. */
export function createCallerIntake(timers: TimerService, capacity = 48_000_000): CallerIntake {
	const scheduler = new InputScheduler({turnWork: 4096, heldBytes: 2_097_152}, callback => {
		afterInput(callback, 1);
	});
	return new CallerIntake({
		budget: new RequestBudget(capacity), scheduler, maxConnections: 1000, maxUnsentBytes: 20_000_000, timers, metrics: new Metrics(), log: new RecordingLog(),
	});
}
