import {type Action} from './action.js';
import {type ActionRecord} from './action-record.js';
import {ActionState} from './action-state.js';
import {ActionStepKind, type ActionStep} from './action-step.js';

/** Milliseconds for which others leave a claim alone. It spares needless takeovers; safety does not depend on it. */
export const claimTimeoutMs = 2000;

/** Milliseconds after which an action that was sent without an outcome is no longer called in progress. */
export const sentTimeoutMs = 10_000;

function decideForeign(record: ActionRecord, age: number): ActionStep {
	if (record.state === ActionState.Sent) {
		return {kind: age < sentTimeoutMs ? ActionStepKind.ReportInProgress : ActionStepKind.ReportUnknown};
	}

	return {kind: age < claimTimeoutMs ? ActionStepKind.ReportInProgress : ActionStepKind.Claim};
}

/**
Decides what a request for a one-time action does next, from the action's row alone.

At most one attempt ever reaches `Send`: only the attempt that wrote `sent` may send, `sent` is written over the version of that attempt's own claim, and no other attempt writes over `sent`.

@param record - the row's content; undefined where there is no row
@param action - the request
@param wallClock - milliseconds since 1970; decides only whether waiting is worthwhile
*/
export function decideNextStep(record: ActionRecord | undefined, action: Action, wallClock: number): ActionStep {
	if (!record) {
		return {kind: ActionStepKind.Claim};
	}

	if (record.fingerprint !== action.fingerprint) {
		return {kind: ActionStepKind.ReportConflict};
	}

	if (record.state === ActionState.Done) {
		return {kind: ActionStepKind.Replay, answer: record.answer};
	}

	if (record.state === ActionState.Released) {
		return {kind: ActionStepKind.Claim};
	}

	if (record.attempt !== action.attempt) {
		return decideForeign(record, wallClock - record.at);
	}

	return {kind: record.state === ActionState.Claimed ? ActionStepKind.MarkSent : ActionStepKind.Send};
}
