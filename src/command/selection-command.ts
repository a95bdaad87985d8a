import {createTRPCClient, httpLink, TRPCClientError} from '@trpc/client';
import {type GossipProcedures} from '../peers/gossip-procedures.js';
import {type RouteSelection, type SelectionQuery} from '../peers/selection-request-handler.js';
import {ResultCode} from '../results/result-code.js';
import {sumPredictedTokens} from '../scheduling/occupancy-forecast.js';
import {callInstance, type ConnectionOptions, toCommandResult} from './connection.js';
import {explainRoute} from './instance-commands.js';
import {
	type CommandResult, failure, formatTable, success,
} from './output.js';

function formatTime(milliseconds: number | undefined): string {
	return milliseconds === undefined ? '-' : milliseconds.toFixed(1);
}

function formatSelection(selection: RouteSelection): string {
	const {route, service, priority, promptTokens, answerTokens, occupancyLimit, chosen, candidates} = selection;
	const pipeline = chosen?.map(({server, range}) => `${server} [${range.from}-${range.to})`).join(' -> ');
	const rows = candidates.map(({server, availabilityZone, range, memory, limit, times, exclusion}) => [
		range ? `${range.from}-${range.to}` : '-',
		server,
		availabilityZone,
		formatTime(times?.firstEventMs),
		formatTime(times?.eventGapMs),
		memory ? Math.round(sumPredictedTokens(memory)) : '-',
		limit === undefined ? '-' : Math.round(limit),
		memory ? Math.round(memory.capacity) : '-',
		exclusion ?? '-',
	]);
	return [
		`${route}: service ${service}, priority ${priority}, ${promptTokens} prompt and ${answerTokens} answer tokens, servers filled up to ${Math.round(occupancyLimit * 100)}%`,
		pipeline ? `pipeline: ${pipeline}; first event after ${formatTime(selection.times?.firstEventMs)} ms, then every ${formatTime(selection.times?.eventGapMs)} ms` : 'pipeline: none',
		formatTable(['layers', 'server', 'zone', 'first ms', 'gap ms', 'held', 'limit', 'capacity', 'excluded'], rows),
	].join('\n');
}

/** Turns explanations into a result, which is a failure if no service of the route has a pipeline. The candidates are printed either way. */
export function toSelectionResult(selections: readonly RouteSelection[]): CommandResult {
	const text = selections.map(selection => formatSelection(selection)).join('\n\n');
	return selections.some(({chosen}) => chosen) ? success(selections, text) : {...failure(ResultCode.NoPipeline, ''), data: selections, text};
}

/** `route explain`: asks the instance which router it is, and prints where a request would go now. The own interface has no procedure that describes it. */
export async function explainRequestRoute(options: ConnectionOptions, {route, ...query}: SelectionQuery): Promise<CommandResult> {
	return callInstance(options, async () => {
		const client = createTRPCClient<GossipProcedures>({
			links: [httpLink({url: `http://${options.instance}`, headers: {authorization: `Bearer ${options.secret}`}})],
		});
		try {
			return toCommandResult(await client.explainSelection.query({route, ...query}), toSelectionResult);
		} catch (error) {
			if (error instanceof TRPCClientError && (error.data as {code?: string} | undefined)?.code === 'NOT_FOUND') { // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
				return explainRoute(options, route);
			}

			throw error;
		}
	});
}
