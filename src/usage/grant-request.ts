import {type Workspace} from '../configuration/sheet-row.js';
import {sumChargedTokens, sumGrantedStreams, type UsageRecord} from './usage-record.js';

/** A request of an instance for a larger grant for one workspace. */
export type GrantRequest = {
	/** Identifies the instance and the start of its process. */
	readonly holder: string;
	/** Tokens granted so far in this window. */
	readonly granted: number;
	/** Additional tokens requested. */
	readonly tokens: number;
	/** Total of concurrent streams requested. */
	readonly streams: number;
};

/**
Returns the usage record with as much of the request granted as the limits of the workspace allow.

The tokens granted in a record never exceed the workspace's tokens per minute in total, and the streams never exceed its concurrent streams.
*/
export function addGrant(record: UsageRecord, workspace: Workspace, request: GrantRequest): UsageRecord {
	const {[request.holder]: previousGrant, ...others} = record.holders;
	const alreadyGranted = Math.max(previousGrant?.granted ?? 0, request.granted);
	const tokensLeft = workspace.tokensPerMinute - sumChargedTokens({holders: others}) - alreadyGranted;
	const streamsLeft = workspace.concurrentStreams - sumGrantedStreams({holders: others});
	return {
		holders: {
			...others,
			[request.holder]: {
				granted: alreadyGranted + Math.max(0, Math.min(request.tokens, tokensLeft)),
				streams: Math.max(0, Math.min(request.streams, streamsLeft)),
			},
		},
	};
}
