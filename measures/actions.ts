import {postControl, readControl} from '../harness/cluster.js';
import {callOperation} from '../harness/plain-caller.js';
import {getApiKey} from '../harness/sheet-text.js';
import {Durations, type Report, round} from './report.js';
import {MeasurementCluster} from './measurement-cluster.js';

const callerCounts = [1, 16, 64, 192];
const windowMs = 6000;
const tableWritesPerSecond = 300;

/** Writes and transactions that the table has counted. */
type Counts = {
	readonly writes: number;
	readonly transactions: number;
};

/** Measures table writes for each one-time action, actions a second at the write limit of the table, and the latency that recording them adds to a plain call. */
export async function measureActions(): Promise<Report> {
	const measurement = new MeasurementCluster({limits: {deadline: '20 s'}});
	const {cluster} = measurement;
	try {
		await cluster.startPlatform();
		await cluster.startRecords('records-1');
		await measurement.startEntries(2);
		await postControl(cluster.platformAddress, 'faults', {writesPerSecond: tableWritesPerSecond});
		const call = async (operation: string, key: string, entry: number) => callOperation(cluster.entries[entry].callerAddress, `records/${operation}`, {
			authorization: `Bearer ${getApiKey('inspectors')}`, ...key === '' ? {} : {'idempotency-key': key},
		}, {});
		const baseline = new Durations();
		for (let number = 0; number < 100; number++) {
			const startedAt = performance.now();
			await call('site-history', '', 0); // eslint-disable-line no-await-in-loop
			baseline.add(performance.now() - startedAt);
		}

		const rows: Array<Array<string | number>> = [];
		const results: Array<Record<string, unknown>> = [];
		for (const callers of callerCounts) {
			const durations = new Durations();
			let executed = 0;
			let notExecuted = 0;
			const before = await readControl<Counts>(cluster.platformAddress, 'counts'); // eslint-disable-line no-await-in-loop
			const startedAt = performance.now();
			// eslint-disable-next-line no-await-in-loop
			await Promise.all(Array.from({length: callers}, async (_, caller) => {
				for (let number = 0; performance.now() < startedAt + windowMs; number++) {
					const at = performance.now();
					const {execution} = await call('book-recheck', `${callers}-${caller}-${number}`, caller % 2); // eslint-disable-line no-await-in-loop
					durations.add(performance.now() - at);
					executed += execution === 'run' ? 1 : 0;
					notExecuted += execution === 'run' ? 0 : 1;
				}
			}));
			const seconds = (performance.now() - startedAt) / 1000;
			const after = await readControl<Counts>(cluster.platformAddress, 'counts'); // eslint-disable-line no-await-in-loop
			const transactions = (after.transactions - before.transactions) / executed;
			const {p50, p95} = durations.percentiles();
			const baselinePercentiles = baseline.percentiles();
			rows.push([
				callers,
				round(executed / seconds),
				notExecuted,
				round((after.writes - before.writes) / executed, 2),
				round(transactions, 2),
				round(p50 - baselinePercentiles.p50),
				round(p95 - baselinePercentiles.p95),
			]);
			results.push({
				callers,
				actionsPerSecond: round(executed / seconds),
				notRun: notExecuted,
				writesPerAction: round((after.writes - before.writes) / executed, 2),
				transactionsPerAction: round(transactions, 2),
				addedP50: round(p50 - baselinePercentiles.p50),
				addedP95: round(p95 - baselinePercentiles.p95),
			});
		}

		return {
			header: ['callers', 'actions/s', 'not run', 'rows written/action', 'transactions/action', 'added p50 ms', 'added p95 ms'],
			rows,
			figures: {tableWritesPerSecond, plain: baseline.percentiles(), results},
		};
	} finally {
		await measurement.stop();
	}
}
