import {Cluster} from '../../harness/cluster.js';
import {digestOf} from '../../src/peers/secret.js';
import {sheetColumns} from '../../src/configuration/sheet-parser.js';

type Cells = Partial<Record<typeof sheetColumns[number], string | number>>;

/** The key of a workspace of the tests. */
export function keyOf(workspace: string): string {
	return `sk-sn-test-${workspace}`;
}

function line(cells: Cells): string {
	return sheetColumns.map(column => String(cells[column] ?? '')).join(',');
}

/* eslint-disable @typescript-eslint/naming-convention -- names of columns */
/** A sheet with a large, a small and an ungranted workspace, a model service and a records service. */
export function sheetText(changes: {readonly tokens?: number; readonly streams?: number; readonly share?: number} = {}): string {
	const workspace = (name: string, cells: Cells) => line({
		kind: 'workspace',
		name,
		priority: 'normal',
		share_percent: 10,
		tokens_per_minute: 1_000_000,
		concurrent_streams: 100,
		key_digest: digestOf(keyOf(name)),
		...cells,
	});
	return [
		sheetColumns.join(','),
		workspace('large', {share_percent: changes.share ?? 60}),
		workspace('small', {tokens_per_minute: changes.tokens ?? 600, concurrent_streams: changes.streams ?? 2}),
		workspace('outsider', {}),
		line({
			kind: 'service', name: 'drafting', model: 'findings', layers: 24, version: 'v1', checks_orders: 'yes',
		}),
		line({kind: 'service', name: 'records', checks_orders: 'no'}),
		line({
			kind: 'operation', name: 'book-recheck', service: 'records', idempotent: 'no',
		}),
		line({
			kind: 'operation', name: 'site-history', service: 'records', idempotent: 'yes',
		}),
		...['large', 'small'].flatMap(name => ['drafting', 'records'].map(service => line({kind: 'grant', name, service}))),
	].join('\n');
}
/* eslint-enable @typescript-eslint/naming-convention */

/** What a test cluster consists of. */
export type ClusterSize = {
	readonly entries: number;
	/** Engines for each of the ranges 0-8, 8-16 and 16-24. */
	readonly engines: number;
	readonly records: number;
};

/** Starts a cluster with an accepted sheet and waits until every entry instance is ready and has a route. */
export async function startCluster(size: ClusterSize, overrides: ConstructorParameters<typeof Cluster>[0] = {}): Promise<Cluster> {
	const cluster = new Cluster({stop: {notice: '500 ms'}, ...overrides});
	await cluster.startPlatform();
	const letters = [...'abcdef'].slice(0, size.engines);
	await Promise.all([[0, 8], [8, 16], [16, 24]].flatMap(([firstLayer, endLayer]) => letters.map(async letter => cluster.startEngine({
		id: `engine-${firstLayer}${letter}`, firstLayer, endLayer, layers: 24, tokenRate: 5000,
	}))));
	for (let number = 1; number <= size.records; number++) {
		await cluster.startRecords(`records-${number}`); // eslint-disable-line no-await-in-loop
	}

	for (const letter of [...'abcdef'].slice(0, size.entries)) {
		await cluster.startEntry(`entry-${letter}`); // eslint-disable-line no-await-in-loop
	}

	await cluster.operator(cluster.entries[0]).submitSheet.mutate({
		text: sheetText(), seen: 0, planner: 'test', id: 'first',
	});
	await cluster.waitFor(async () => {
		const checks = await Promise.all(cluster.entries.map(async entry => {
			const isReady = await cluster.metric(entry, 'siskinnotch_configuration_version') === 1 && await cluster.answers(entry, 'ready');
			if (!isReady || size.engines === 0) {
				return isReady;
			}

			const {route} = await cluster.operator(entry).explainRoute.query({model: 'findings'});
			return route.length === 3;
		}));
		return checks.every(Boolean);
	});
	return cluster;
}
