import {type LogEvent} from './parsed-log.js';

/** The events of one request, and the cause of its end, from the logs of one or more processes. The command line prints these fields as JSON. */
export type RequestExplanation = {
	/** Events of the request, in chronological order. */
	readonly decisions: readonly LogEvent[];
	/**
	Health events of the servers that the request used, from its first event to its last, after the dependencies that were already lost when it arrived. If the request was sent to no server, the health events of all servers at its instance, from 5 s before its first event.
	*/
	readonly beliefs: readonly LogEvent[];
	/** How the request ended, and why. */
	readonly cause: string;
};

const finalEventNames = new Set(['request.answered', 'request.failed', 'request.refused', 'request.left', 'request.cut']);
const healthEventNames = new Set(['server.suspected', 'server.leaving', 'server.gone', 'server.slow', 'dependency.lost', 'placement.ordered']);

/** How long before the first event of a request that was sent to no server the health events are shown. */
const unsentLookbackMs = 5000;

function subtractTime(timestamp: string, milliseconds: number): string {
	const at = Date.parse(timestamp);
	return Number.isNaN(at) ? timestamp : new Date(at - milliseconds).toISOString();
}

/** Finds the `dependency.lost` events at the given instances that no `dependency.regained` event followed before the given time. */
function findLostDependencies(all: readonly LogEvent[], instances: ReadonlySet<string>, before: string): readonly LogEvent[] {
	const latest = new Map<string, LogEvent>();
	for (const event of all) {
		const isChange = event.message === 'dependency.lost' || event.message === 'dependency.regained';
		if (isChange && instances.has(event.instance) && event.timestamp < before) {
			latest.set(`${event.instance} ${getField(event, 'dependency') ?? ''}`, event);
		}
	}

	return [...latest.values()].filter(({message}) => message === 'dependency.lost');
}

function findServers(events: readonly LogEvent[]): ReadonlySet<string> {
	const servers = events.flatMap(({server, pipeline}) => [
		...(server === undefined ? [] : [server]),
		...(pipeline === undefined ? [] : pipeline.split(',').map(stage => stage.split(':')[0])),
	]);
	return new Set(servers);
}

function getField(event: LogEvent, name: string): string | undefined {
	const value = event[name];
	return value === undefined ? undefined : (typeof value === 'string' ? value : JSON.stringify(value));
}

function formatFinalEvent(event: LogEvent): string {
	const code = getField(event, 'code');
	const reason = getField(event, 'reason') ?? getField(event, 'status');
	return [event.message, code && `code ${code}`, getField(event, 'execution'), reason].filter(part => part !== undefined).join(', ');
}

function findCause(events: readonly LogEvent[], relatedEvents: readonly LogEvent[]): string {
	const last = events.findLast(({message}) => finalEventNames.has(message));
	if (!last) {
		return 'these logs contain no final event: the process ended first, or the line was dropped (look for "suppressed")';
	}

	const failedAttempt = events.findLast(({message}) => message === 'request.attempt_failed' || message === 'request.rejected');
	const suspicion = relatedEvents.findLast(({message}) => message === 'server.suspected');
	const parts = [
		formatFinalEvent(last),
		failedAttempt && `after ${failedAttempt.message} at ${failedAttempt.server ?? 'an unknown server'}: ${getField(failedAttempt, 'reason') ?? ''}`,
		suspicion && `while ${suspicion.server ?? ''} was suspected: ${getField(suspicion, 'reason') ?? ''}`,
	];
	return parts.filter(part => part !== undefined).join('; ');
}

/**
Finds the events of a request, the related health events, and the cause of its end.

@returns undefined if no event has the id of the request
*/
export function explainRequestLog(all: readonly LogEvent[], id: string): RequestExplanation | undefined {
	const inOrder = all.toSorted((left, right) => left.timestamp < right.timestamp ? -1 : 1);
	const decisions = inOrder.filter(({request}) => request === id);
	if (decisions.length === 0) {
		return undefined;
	}

	const servers = findServers(decisions);
	const instances = new Set(decisions.map(({instance}) => instance));
	const [startedAt, to] = [decisions[0].timestamp, decisions.at(-1)!.timestamp];
	const isUnsent = servers.size === 0;
	const from = isUnsent ? subtractTime(startedAt, unsentLookbackMs) : startedAt;
	const isRelated = ({server, instance}: LogEvent) => server === undefined || (isUnsent ? instances.has(instance) : servers.has(server));
	const changes = inOrder.filter(event =>
		healthEventNames.has(event.message) && isRelated(event) && event.timestamp >= from && event.timestamp <= to);
	const beliefs = [...findLostDependencies(inOrder, instances, from), ...changes];
	return {decisions, beliefs, cause: findCause(decisions, beliefs)};
}
