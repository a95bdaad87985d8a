import {type EngineSettings} from './engine-settings.js';
import {type AttemptState} from './attempt-state.js';
import {type WorkItem} from './work-item.js';

/** Finds violations in a work item: a layer or position that is skipped, repeated or out of order, or an item sent to the wrong server. */
export function findViolations(work: WorkItem, {nextPosition}: AttemptState, {id, firstLayer, version}: EngineSettings): readonly string[] {
	const subject = `request ${work.attempt.request} attempt ${work.attempt.number} token ${work.index}`;
	const stage = work.attempt.route[work.stage];
	const violations: string[] = [];
	if (stage.server !== id) {
		violations.push(`${subject} is for ${stage.server}`);
	}

	if (work.layer !== firstLayer) {
		violations.push(`${subject} continues at layer ${work.layer}, but the range starts at ${firstLayer}`);
	}

	// If the version changed during the attempt, the receipt shows it to the router; that is no violation here.
	const start = work.starts[work.stage];
	if (stage.version === version && nextPosition >= 0 && nextPosition !== start) {
		violations.push(`${subject} starts at position ${start} instead of ${nextPosition}`);
	}

	return violations;
}
