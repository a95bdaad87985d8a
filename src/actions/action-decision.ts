import {type Action} from './action.js';
import {type ActionRecord} from './action-record.js';
import {ActionState} from './action-state.js';
import {ActionStepKind, type ActionStep} from './action-step.js';

/** Milliseconds for which other attempts respect a claim. It avoids needless takeovers; safety does not depend on it. */
export const claimTimeoutMs = 2000;

/** Milliseconds after which an action that was sent and has no recorded outcome is reported as unknown rather than in progress. */
export const sentTimeoutMs = 10_000;

function decideForOtherAttempt(record: ActionRecord, age: number): ActionStep {
	if (record.state === ActionState.Sent) {
		return {kind: age < sentTimeoutMs ? ActionStepKind.ReportInProgress : ActionStepKind.ReportUnknown};
	}

	return {kind: age < claimTimeoutMs ? ActionStepKind.ReportInProgress : ActionStepKind.Claim};
}

/**
Decides the next step of a request for a one-time action from the action's row alone.

At most one attempt ever reaches `Send`: only the attempt that wrote `sent` may send, `sent` is written conditionally on the version of that attempt's own claim, and no other attempt overwrites `sent`.

@param record - content of the row; undefined if there is no row
@param action - the requested action
@param wallClock - milliseconds since 1970; used only to decide whether another attempt is still in progress, never for safety
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
		return decideForOtherAttempt(record, wallClock - record.at);
	}

	return {kind: record.state === ActionState.Claimed ? ActionStepKind.MarkSent : ActionStepKind.Send};
}
