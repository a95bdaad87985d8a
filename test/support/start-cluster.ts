import {Cluster} from '../../harness/cluster.js';
import {writeSheet} from '../../harness/sheet-text.js';

/** Creates the text of a sheet with a large, a small and an ungranted workspace, a model service and a records service. */
export function sheetText(changes: {readonly tokens?: number; readonly streams?: number; readonly share?: number} = {}): string {
	return writeSheet([
		{
			name: 'large', share: changes.share ?? 60, tokens: 1_000_000, streams: 100, isGranted: true,
		},
		{
			name: 'small', share: 10, tokens: changes.tokens ?? 600, streams: changes.streams ?? 2, isGranted: true,
		},
		{
			name: 'outsider', share: 10, tokens: 1_000_000, streams: 100, isGranted: false,
		},
	]);
}

/** Number of processes of each kind in a test cluster. */
export type ClusterSize = {
	readonly entries: number;
	/** Engines for each of the layer ranges 0-8, 8-16 and 16-24. */
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

	await cluster.createOperatorClient(cluster.entries[0]).submitSheet.mutate({
		text: sheetText(), seen: 0, planner: 'test', id: 'first',
	});
	await cluster.waitFor(async () => {
		const checks = await Promise.all(cluster.entries.map(async entry => {
			const isReady = await cluster.readMetric(entry, 'siskinnotch_configuration_version') === 1 && await cluster.isResponding(entry, 'ready');
			if (!isReady || size.engines === 0) {
				return isReady;
			}

			const {route} = await cluster.createOperatorClient(entry).explainRoute.query({model: 'findings'});
			return route.length === 3;
		}));
		return checks.every(Boolean);
	});
	return cluster;
}
