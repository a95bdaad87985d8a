import {sheetColumns} from '../src/configuration/sheet-columns.js';
import {computeDigest} from '../src/peers/secret.js';

/** A workspace in a generated sheet. */
export type SheetWorkspace = {
	readonly name: string;
	/** Percent of the capacity. */
	readonly share: number;
	/** Tokens a minute. */
	readonly tokens: number;
	/** Concurrent streams. */
	readonly streams: number;
	/** Whether the workspace may use the services of the sheet. */
	readonly isGranted: boolean;
};

type Cells = Partial<Record<typeof sheetColumns[number], string | number>>;

function formatLine(cells: Cells): string {
	return sheetColumns.map(column => String(cells[column] ?? '')).join(',');
}

/** Computes the API key of a workspace in a generated sheet. */
export function getApiKey(workspace: string): string {
	return `sk-sn-harness-${workspace}`;
}

/* eslint-disable @typescript-eslint/naming-convention -- column names of the sheet */

/** Writes a sheet as CSV: the given workspaces, a model service with 24 layers, and a records service with one non-idempotent and one idempotent operation. */
export function writeSheet(workspaces: readonly SheetWorkspace[]): string {
	const granted = workspaces.filter(({isGranted}) => isGranted);
	return [
		sheetColumns.join(','),
		...workspaces.map(({name, share, tokens, streams}) => formatLine({
			kind: 'workspace',
			name,
			priority: 'normal',
			share_percent: share,
			tokens_per_minute: tokens,
			concurrent_streams: streams,
			key_digest: computeDigest(getApiKey(name)),
		})),
		formatLine({
			kind: 'service', name: 'drafting', model: 'findings', layers: 24, version: 'v1', checks_orders: 'yes',
		}),
		formatLine({kind: 'service', name: 'records', checks_orders: 'no'}),
		formatLine({
			kind: 'operation', name: 'book-recheck', service: 'records', idempotent: 'no',
		}),
		formatLine({
			kind: 'operation', name: 'site-history', service: 'records', idempotent: 'yes',
		}),
		...granted.flatMap(({name}) => ['drafting', 'records'].map(service => formatLine({kind: 'grant', name, service}))),
	].join('\n');
}
/* eslint-enable @typescript-eslint/naming-convention */
