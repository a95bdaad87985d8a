import {type PlainAnswer} from '../backends/plain-answer.js';

/** What a request for a one-time action does next. */
export enum ActionStepKind {
	/** Write a claim over the row's version. */
	Claim = 'claim',
	/** The claim is held by this attempt: mark it as sent. */
	MarkSent = 'mark_sent',
	/** This attempt has marked it as sent: send it. */
	Send = 'send',
	/** Answer with what is recorded. */
	Replay = 'replay',
	/** Another attempt is working on it. */
	ReportInProgress = 'report_in_progress',
	/** Another attempt sent it and no outcome is recorded. */
	ReportUnknown = 'report_unknown',
	/** The key was used with another body. */
	ReportConflict = 'report_conflict',
}

/** A move with what it needs. */
export type ActionStep = {
	readonly kind: ActionStepKind;
	/** The answer to replay. */
	readonly answer?: PlainAnswer;
};
