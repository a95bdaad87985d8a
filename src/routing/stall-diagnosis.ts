import {type StageStatus} from '../backends/stage-status.js';

/** Why an attempt's tokens have stopped. */
export enum StallCause {
	/** Servers gave no answer over new connections. */
	ServersLost = 'servers_lost',
	/** A server answered but does not know the attempt: it was restarted. */
	AttemptForgotten = 'attempt_forgotten',
	/** The last stage has sent more than arrived: the connection to it is silent. */
	ConnectionSilent = 'connection_silent',
	/** Nothing moved between two inspections: a stage or the link to it is stuck. */
	Stuck = 'stuck',
	/** The stages move, or were not inspected before. */
	Slow = 'slow',
}

/** A diagnosis with the stages that are to blame. */
export type StallDiagnosis = {
	readonly cause: StallCause;
	/** Positions in the route. */
	readonly stages: readonly number[];
	/** Whether a batch has left one stage and not reached the next: both ends of the link are in `stages`. */
	readonly isOnLink: boolean;
};

function isUnmoved(statuses: readonly StageStatus[], previous: ReadonlyArray<StageStatus | undefined>): boolean {
	return statuses.every((status, index) => {
		const before = previous[index];
		return before?.received === status.received && before.forwarded === status.forwarded && before.emitted === status.emitted;
	});
}

/** Whether a stage that the attempt had reached does not know it any more. */
function isForgotten(statuses: readonly StageStatus[]): boolean {
	return statuses.some(({isKnown}, index) => {
		const isLast = index === statuses.length - 1;
		const wasReached = index === 0 ? statuses.some(({received}) => received > 0) : statuses[index - 1].forwarded > 0;
		return !isKnown && (isLast || wasReached);
	});
}

/** The first stage that holds a batch, or the two ends of the link that a batch is on. */
function findBatch(statuses: readonly StageStatus[]): Pick<StallDiagnosis, 'stages' | 'isOnLink'> {
	for (const [index, status] of statuses.entries()) {
		if (index > 0 && statuses[index - 1].forwarded > status.received) {
			return {stages: [index - 1, index], isOnLink: true};
		}

		if (status.received > status.forwarded) {
			return {stages: [index], isOnLink: false};
		}
	}

	// All was handed on: the batch is on its way back from the last stage to the first.
	return {stages: statuses.length === 1 ? [0] : [0, statuses.length - 1], isOnLink: true};
}

/**
Tells a lost server, a silent connection, a stuck stage and a slow one apart.

@param statuses - of the stages in the order of the route; undefined where a server gave no answer
@param previous - statuses of the inspection before; empty at the first
@param delivered - tokens that have arrived
*/
export function diagnoseStall(
	statuses: ReadonlyArray<StageStatus | undefined>,
	previous: ReadonlyArray<StageStatus | undefined>,
	delivered: number,
): StallDiagnosis {
	const lost = [...statuses.keys()].filter(index => statuses[index] === undefined);
	if (lost.length > 0) {
		return {cause: StallCause.ServersLost, stages: lost, isOnLink: false};
	}

	const known = statuses.filter(status => status !== undefined);
	if (isForgotten(known)) {
		return {cause: StallCause.AttemptForgotten, stages: [], isOnLink: false};
	}

	if (known.at(-1)!.emitted > delivered) {
		return {cause: StallCause.ConnectionSilent, stages: [], isOnLink: false};
	}

	return {cause: isUnmoved(known, previous) ? StallCause.Stuck : StallCause.Slow, ...findBatch(known)};
}
