import {control, readControl} from '../harness/cluster.js';
import {callOperation} from '../harness/plain-caller.js';
import {keyOf} from '../harness/sheet-text.js';
import {Durations, type Report, round} from './report.js';
import {MeasurementCluster} from './measurement-cluster.js';

const steps = [1, 16, 64, 192];
const windowMs = 6000;
const tableWritesPerSecond = 300;

type Counts = {
	readonly writes: number;
	readonly transactions: number;
};

/** Table writes for each one-time action, actions a second at the table's limit, and the delay that they add. */
export async function measureActions(): Promise<Report> {
	const stage = new MeasurementCluster({limits: {deadline: '20 s'}});
	const {cluster} = stage;
	try {
		await cluster.startPlatform();
		await cluster.startRecords('records-1');
		await stage.startEntries(2);
		await control(cluster.platform, 'faults', {writesPerSecond: tableWritesPerSecond});
		const call = async (operation: string, key: string, entry: number) => callOperation(cluster.entries[entry].callers, `records/${operation}`, {
			authorization: `Bearer ${keyOf('inspectors')}`, ...key === '' ? {} : {'idempotency-key': key},
		}, {});
		const plain = new Durations();
		for (let number = 0; number < 100; number++) {
			const begin = performance.now();
			await call('site-history', '', 0); // eslint-disable-line no-await-in-loop
			plain.add(performance.now() - begin);
		}

		const rows: Array<Array<string | number>> = [];
		const results: Array<Record<string, unknown>> = [];
		for (const callers of steps) {
			const durations = new Durations();
			let run = 0;
			let others = 0;
			const before = await readControl<Counts>(cluster.platform, 'counts'); // eslint-disable-line no-await-in-loop
			const begin = performance.now();
			// eslint-disable-next-line no-await-in-loop
			await Promise.all(Array.from({length: callers}, async (_, caller) => {
				for (let number = 0; performance.now() < begin + windowMs; number++) {
					const at = performance.now();
					const {execution} = await call('book-recheck', `${callers}-${caller}-${number}`, caller % 2); // eslint-disable-line no-await-in-loop
					durations.add(performance.now() - at);
					run += execution === 'run' ? 1 : 0;
					others += execution === 'run' ? 0 : 1;
				}
			}));
			const seconds = (performance.now() - begin) / 1000;
			const after = await readControl<Counts>(cluster.platform, 'counts'); // eslint-disable-line no-await-in-loop
			const transactions = (after.transactions - before.transactions) / run;
			const {p50, p95} = durations.percentiles();
			const base = plain.percentiles();
			rows.push([callers, round(run / seconds), others, round((after.writes - before.writes) / run, 2), round(transactions, 2), round(p50 - base.p50), round(p95 - base.p95)]);
			results.push({
				callers,
				actionsPerSecond: round(run / seconds),
				notRun: others,
				writesPerAction: round((after.writes - before.writes) / run, 2),
				transactionsPerAction: round(transactions, 2),
				addedP50: round(p50 - base.p50),
				addedP95: round(p95 - base.p95),
			});
		}

		return {
			header: ['callers', 'actions/s', 'not run', 'rows written/action', 'transactions/action', 'added p50 ms', 'added p95 ms'],
			rows,
			figures: {tableWritesPerSecond, plain: plain.percentiles(), results},
		};
	} finally {
		await stage.stop();
	}
}
