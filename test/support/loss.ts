import {ConnectionEnd, type RequestLife} from './request-life.js';
import {Ending} from './request-plan.js';

/** How a request was lost. */
export enum Loss {
	WrongReply = 'a whole reply that is neither the answer nor a refusal',
	HalfClosed = 'read and closed without a line after its caller had half-closed',
	Unread = 'reset without a line, later than a crossing',
	Read = 'read and closed without a line',
	Forgotten = 'accepted, then neither a reply nor a final line',
	CutAnswer = 'answered by the log, not received whole',
	CutRefusal = 'refused by the log, not received whole',
	NoReply = 'no reply until its caller gave up',
}

/** Tells how a request was lost, by what its caller saw and the events that were logged of it. */
export function classifyLoss({plan, isComplete, connectionEnd, receivedBytes}: RequestLife, events: readonly string[]): Loss {
	if (isComplete) {
		return Loss.WrongReply;
	}

	if (events.includes('request.answered')) {
		return Loss.CutAnswer;
	}

	if (events.includes('request.failed') || events.includes('request.refused')) {
		return Loss.CutRefusal;
	}

	if (connectionEnd === ConnectionEnd.Left) {
		return Loss.NoReply;
	}

	if (events.length > 0 || receivedBytes > 0) {
		return Loss.Forgotten;
	}

	if (plan.ending === Ending.HalfCloses) {
		return Loss.HalfClosed;
	}

	return connectionEnd === ConnectionEnd.Reset ? Loss.Unread : Loss.Read;
}
