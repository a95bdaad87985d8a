import {type Workspace} from '../configuration/sheet-row.js';
import {sumChargedTokens, sumGrantedStreams, type UsageRecord} from './usage-record.js';

/** What an instance wants for one workspace. */
export type GrantRequest = {
	/** The instance and the start of its process. */
	readonly holder: string;
	/** Tokens that it has been granted in this window in all. */
	readonly granted: number;
	/** Further tokens that it wants. */
	readonly tokens: number;
	/** Concurrent streams that it wants in all. */
	readonly streams: number;
};

/**
The usage row with as much of the demand as the workspace's limits leave.

The sum of all grants in a row never exceeds the workspace's tokens a minute, nor the sum of its streams the concurrent streams.
*/
export function addGrant(record: UsageRecord, workspace: Workspace, demand: GrantRequest): UsageRecord {
	const {[demand.holder]: own, ...others} = record.holders;
	const ownGranted = Math.max(own?.granted ?? 0, demand.granted);
	const tokensLeft = workspace.tokensPerMinute - sumChargedTokens({holders: others}) - ownGranted;
	const streamsLeft = workspace.concurrentStreams - sumGrantedStreams({holders: others});
	return {
		holders: {
			...others,
			[demand.holder]: {
				granted: ownGranted + Math.max(0, Math.min(demand.tokens, tokensLeft)),
				streams: Math.max(0, Math.min(demand.streams, streamsLeft)),
			},
		},
	};
}
