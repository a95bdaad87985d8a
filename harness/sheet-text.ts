import {sheetColumns} from '../src/configuration/sheet-columns.js';
import {computeDigest} from '../src/peers/secret.js';

/** A workspace of a sheet that the harness writes. */
export type SheetWorkspace = {
	readonly name: string;
	readonly share: number;
	readonly tokens: number;
	readonly streams: number;
	readonly isGranted: boolean;
};

type Cells = Partial<Record<typeof sheetColumns[number], string | number>>;

function formatLine(cells: Cells): string {
	return sheetColumns.map(column => String(cells[column] ?? '')).join(',');
}

/** The key of a workspace of such a sheet. */
export function keyOf(workspace: string): string {
	return `sk-sn-harness-${workspace}`;
}

/* eslint-disable @typescript-eslint/naming-convention -- names of columns */

/** A sheet with workspaces, a model service of 24 layers and a records service. */
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
			key_digest: computeDigest(keyOf(name)),
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
