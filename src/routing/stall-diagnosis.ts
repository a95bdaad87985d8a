import {type StageStatus} from '../backends/stage-status.js';

/** Why an attempt stopped producing tokens. */
export enum StallCause {
	/** At least one server did not respond over a new connection. */
	ServersLost = 'servers_lost',
	/** A server responded but does not know the attempt, because it was restarted or refused it. */
	AttemptForgotten = 'attempt_forgotten',
	/** The last stage has emitted more tokens than arrived: the connection to it no longer delivers data. */
	ConnectionSilent = 'connection_silent',
	/** No stage made progress between two inspections: a stage or the link to it is stuck. */
	Stuck = 'stuck',
	/** The stages make progress, or were not inspected before. */
	Slow = 'slow',
}

/** The cause of a stall and the stages responsible for it. */
export type StallDiagnosis = {
	readonly cause: StallCause;
	/** Positions in the route. */
	readonly stages: readonly number[];
	/** Whether a batch has left one stage and not reached the next. `stages` then holds both ends of the link. */
	readonly isOnLink: boolean;
};

function hasNoProgress(statuses: readonly StageStatus[], previous: ReadonlyArray<StageStatus | undefined>): boolean {
	return statuses.every((status, index) => {
		const before = previous[index];
		return before?.received === status.received && before.forwarded === status.forwarded && before.emitted === status.emitted;
	});
}

/** Finds the stages that the attempt had reached and that no longer know it. */
function findForgetful(statuses: readonly StageStatus[]): readonly number[] {
	return [...statuses.keys()].filter(index => {
		const isLast = index === statuses.length - 1;
		const wasReached = index === 0 ? statuses.some(({received}) => received > 0) : statuses[index - 1].forwarded > 0;
		return !statuses[index].isKnown && (isLast || wasReached);
	});
}

/** Finds the first stage that holds a batch, or the two ends of the link on which a batch is in transit. */
function locateBatch(statuses: readonly StageStatus[]): Pick<StallDiagnosis, 'stages' | 'isOnLink'> {
	for (const [index, status] of statuses.entries()) {
		if (index > 0 && statuses[index - 1].forwarded > status.received) {
			return {stages: [index - 1, index], isOnLink: true};
		}

		if (status.received > status.forwarded) {
			return {stages: [index], isOnLink: false};
		}
	}

	// Every stage has forwarded its batches, so the batch is in transit from the last stage back to the first.
	return {stages: statuses.length === 1 ? [0] : [0, statuses.length - 1], isOnLink: true};
}

/**
Distinguishes a lost server, a silent connection, a stuck stage and a slow stage.

@param statuses - status of each stage in the order of the route; undefined for a server that did not respond
@param previous - statuses from the previous inspection; empty for the first one
@param delivered - number of tokens received so far
*/
export function diagnoseStall(
	statuses: ReadonlyArray<StageStatus | undefined>,
	previous: ReadonlyArray<StageStatus | undefined>,
	delivered: number,
): StallDiagnosis {
	const unreachable = [...statuses.keys()].filter(index => statuses[index] === undefined);
	if (unreachable.length > 0) {
		return {cause: StallCause.ServersLost, stages: unreachable, isOnLink: false};
	}

	const answered = statuses.filter(status => status !== undefined);
	const forgetful = findForgetful(answered);
	if (forgetful.length > 0) {
		return {cause: StallCause.AttemptForgotten, stages: forgetful, isOnLink: false};
	}

	if (answered.at(-1)!.emitted > delivered) {
		return {cause: StallCause.ConnectionSilent, stages: [], isOnLink: false};
	}

	return {cause: hasNoProgress(answered, previous) ? StallCause.Stuck : StallCause.Slow, ...locateBatch(answered)};
}
