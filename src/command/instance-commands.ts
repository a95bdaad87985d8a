import {randomBytes} from 'node:crypto';
import {RowKind} from '../configuration/row-kind.js';
import {computeDigest} from '../peers/secret.js';
import {ResultCode} from '../results/result-code.js';
import {callInstance, type ConnectionOptions, toCommandResult} from './connection.js';
import {
	type CommandResult, failure, formatTable, success,
} from './output.js';

/** Number of random bytes in a workspace key. */
const keyBytes = 32;

/** `workspace list`: prints the workspaces of the sheet in force. */
export async function listWorkspaces(options: ConnectionOptions): Promise<CommandResult> {
	return callInstance(options, async client => {
		const {rows} = await client.showSheet.query();
		const workspaces = rows.filter(row => row.kind === RowKind.Workspace);
		return success(workspaces, formatTable(
			['name', 'priority', 'share', 'tokens/min', 'streams'],
			workspaces.map(({name, priority, share, tokensPerMinute, concurrentStreams}) => [name, priority, `${share}%`, tokensPerMinute, concurrentStreams]),
		));
	});
}

/** `workspace usage`: prints the tokens charged to each workspace. */
export async function showUsage(options: ConnectionOptions): Promise<CommandResult> {
	return callInstance(options, async client => toCommandResult(await client.usage.query(), usage => success(
		usage,
		formatTable(['workspace', 'tokens', 'minutes'], usage.map(({workspace, tokens, windows}) => [workspace, tokens, windows])),
	)));
}

/** `instance list`: prints the entry instances and their states, as known to the instance that is called. */
export async function listInstances(options: ConnectionOptions): Promise<CommandResult> {
	return callInstance(options, async client => {
		const instances = await client.instances.query();
		return success(instances, formatTable(['id', 'address', 'state'], instances.map(({id, address, state}) => [id, address, state])));
	});
}

/** `instance drain`: starts a planned shutdown of the instance that is called. */
export async function drainInstance(options: ConnectionOptions): Promise<CommandResult> {
	return callInstance(options, async client => success(await client.drain.mutate(), `${options.instance} is draining`));
}

/** `route explain`: prints the route that a request would take now, and the state of each candidate server. */
export async function explainRoute(options: ConnectionOptions, model: string): Promise<CommandResult> {
	return callInstance(options, async client => {
		const explanation = await client.explainRoute.query({model});
		if (explanation.service === '') {
			return failure(ResultCode.ModelUnknown, explanation.reason);
		}

		const route = explanation.route.map(({server, firstLayer, endLayer}) => `${server} [${firstLayer}-${endLayer})`).join(' -> ');
		const table = formatTable(
			['server', 'layers', 'tokens/s', 'flow', 'load', 'usable', 'reason'],
			explanation.candidates.map(({server, layers, tokenRate, flow, load, isUsable, reason}) => [
				server, layers, Math.round(tokenRate), Math.round(flow), load.toFixed(3), isUsable ? 'yes' : 'no', reason,
			]),
		);
		return success(explanation, [
			`${model}: service ${explanation.service}, version ${explanation.version}, bound ${Math.round(explanation.bound)} tokens/s`,
			`route: ${route || 'none'} (${explanation.reason})`,
			table,
		].join('\n'));
	});
}

/** `action lookup`: prints the recorded state of a one-time action. */
export async function lookUpAction(options: ConnectionOptions, key: string, workspace: string): Promise<CommandResult> {
	return callInstance(options, async client => toCommandResult(await client.lookUpAction.query({workspace, key}), ({record}) => {
		if (!record) {
			return failure(ResultCode.ActionUnknown, `no action with the key ${key} of ${workspace} is known; it was not sent`);
		}

		const answer = record.answer ? `\nanswer ${record.answer.status}: ${record.answer.body}` : '';
		return success(record, `${key} of ${workspace}: ${record.state}, held by ${record.holder}${answer}`);
	}));
}

/** `key create`: prints a new workspace key and its digest for the sheet. The key is not stored. */
export function createKey(): CommandResult {
	const key = `sk-sn-${randomBytes(keyBytes).toString('base64url')}`;
	const digest = computeDigest(key);
	return success({key, digest}, `key (give it to the workspace; it is not stored): ${key}\ndigest (for the sheet): ${digest}`);
}
