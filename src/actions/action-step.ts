import {type PlainAnswer} from '../backends/plain-answer.js';

/** Possible next steps of a request for a one-time action. */
export enum ActionStepKind {
	/** Write a claim conditionally on the row's version. */
	Claim = 'claim',
	/** This attempt holds the claim: mark the action as sent. */
	MarkSent = 'mark_sent',
	/** This attempt has marked the action as sent: send it. */
	Send = 'send',
	/** Return the recorded answer. */
	Replay = 'replay',
	/** Report that another attempt is working on the action. */
	ReportInProgress = 'report_in_progress',
	/** Report that another attempt sent the action and no outcome is recorded. */
	ReportUnknown = 'report_unknown',
	/** Report that the key was used with a different service, operation or body. */
	ReportConflict = 'report_conflict',
}

/** The next step of a request for a one-time action. */
export type ActionStep = {
	readonly kind: ActionStepKind;
	/** The answer to return; set only for `Replay`. */
	readonly answer?: PlainAnswer;
};
