import {type EngineSettings} from './engine-settings.js';
import {type AttemptState} from './attempt-state.js';
import {type WorkItem} from './work-item.js';

/** What is wrong with a piece of work: a layer run twice, skipped, out of order, or at the wrong server. */
export function findViolations(work: WorkItem, {nextPosition}: AttemptState, {id, firstLayer, version}: EngineSettings): readonly string[] {
	const subject = `request ${work.attempt.request} attempt ${work.attempt.number} token ${work.index}`;
	const stage = work.attempt.route[work.stage];
	const violations: string[] = [];
	if (stage.server !== id) {
		violations.push(`${subject} is for ${stage.server}`);
	}

	if (work.layer !== firstLayer) {
		violations.push(`${subject} comes with layer ${work.layer}, but the range begins at ${firstLayer}`);
	}

	// Where the version changed under way, the receipt tells the router.
	const start = work.starts[work.stage];
	if (stage.version === version && nextPosition >= 0 && nextPosition !== start) {
		violations.push(`${subject} runs position ${start} where ${nextPosition} comes next`);
	}

	return violations;
}
