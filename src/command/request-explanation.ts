import {type LogEvent} from './parsed-log.js';

/** The life of one request as the logs of several processes tell it. */
export type RequestExplanation = {
	/** Its decisions, in the order of their time. */
	readonly decisions: readonly LogEvent[];
	/**
	Changes of beliefs about the servers that it used, from its beginning to its end, and dependencies that were lost when it came. Where it was sent to no server, those about any server at its instance, from some seconds before.
	*/
	readonly beliefs: readonly LogEvent[];
	/** What it ended with, and why. */
	readonly cause: string;
};

const finalKinds = new Set(['request.answered', 'request.failed', 'request.refused', 'request.left', 'request.cut']);
const beliefKinds = new Set(['server.suspected', 'server.leaving', 'server.gone', 'server.slow', 'dependency.lost', 'placement.ordered']);

/** How long before a request that was never sent the changes of beliefs are shown. */
const foregoingMs = 5000;

function earlier(timestamp: string, milliseconds: number): string {
	const at = Date.parse(timestamp);
	return Number.isNaN(at) ? timestamp : new Date(at - milliseconds).toISOString();
}

/** The losses of dependencies at some instances that were not made up for before a time. */
function lostBefore(all: readonly LogEvent[], instances: ReadonlySet<string>, before: string): readonly LogEvent[] {
	const latest = new Map<string, LogEvent>();
	for (const decision of all) {
		const isChange = decision.message === 'dependency.lost' || decision.message === 'dependency.regained';
		if (isChange && instances.has(decision.instance) && decision.timestamp < before) {
			latest.set(`${decision.instance} ${fieldOf(decision, 'dependency') ?? ''}`, decision);
		}
	}

	return [...latest.values()].filter(({message}) => message === 'dependency.lost');
}

function serversOf(decisions: readonly LogEvent[]): ReadonlySet<string> {
	const servers = decisions.flatMap(({server, pipeline}) => [
		...(server === undefined ? [] : [server]),
		...(pipeline === undefined ? [] : pipeline.split(',').map(stage => stage.split(':')[0])),
	]);
	return new Set(servers);
}

function fieldOf(decision: LogEvent, name: string): string | undefined {
	const value = decision[name];
	return value === undefined ? undefined : (typeof value === 'string' ? value : JSON.stringify(value));
}

function describeEnd(decision: LogEvent): string {
	const code = fieldOf(decision, 'code');
	const reason = fieldOf(decision, 'reason') ?? fieldOf(decision, 'status');
	return [decision.message, code && `code ${code}`, fieldOf(decision, 'execution'), reason].filter(part => part !== undefined).join(', ');
}

function causeOf(decisions: readonly LogEvent[], beliefs: readonly LogEvent[]): string {
	const last = decisions.findLast(({message}) => finalKinds.has(message));
	if (!last) {
		return 'no final decision is in these logs: the process ended first, or its line was left out (look for "suppressed")';
	}

	const trouble = decisions.findLast(({message}) => message === 'request.attempt_failed' || message === 'request.rejected');
	const suspicion = beliefs.findLast(({message}) => message === 'server.suspected');
	const parts = [
		describeEnd(last),
		trouble && `after ${trouble.message} at ${trouble.server ?? 'an unknown server'}: ${fieldOf(trouble, 'reason') ?? ''}`,
		suspicion && `while ${suspicion.server ?? ''} was suspected: ${fieldOf(suspicion, 'reason') ?? ''}`,
	];
	return parts.filter(part => part !== undefined).join('; ');
}

/**
Tells the life of a request.

@returns undefined where no line names it
*/
export function explainRequestLog(all: readonly LogEvent[], id: string): RequestExplanation | undefined {
	const inOrder = all.toSorted((left, right) => left.timestamp < right.timestamp ? -1 : 1);
	const decisions = inOrder.filter(({request}) => request === id);
	if (decisions.length === 0) {
		return undefined;
	}

	const servers = serversOf(decisions);
	const instances = new Set(decisions.map(({instance}) => instance));
	const [begunAt, to] = [decisions[0].timestamp, decisions.at(-1)!.timestamp];
	const isUnsent = servers.size === 0;
	const from = isUnsent ? earlier(begunAt, foregoingMs) : begunAt;
	const concerns = ({server, instance}: LogEvent) => server === undefined || (isUnsent ? instances.has(instance) : servers.has(server));
	const changes = inOrder.filter(decision =>
		beliefKinds.has(decision.message) && concerns(decision) && decision.timestamp >= from && decision.timestamp <= to);
	const beliefs = [...lostBefore(inOrder, instances, from), ...changes];
	return {decisions, beliefs, cause: causeOf(decisions, beliefs)};
}
