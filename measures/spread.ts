import {writeSoakSheet} from '../soak/soak-environment.js';
import {
	Durations, fitLine, type Report, round,
} from './report.js';
import {MeasurementCluster} from './measurement-cluster.js';

const instanceCounts = [3, 9, 20, 40];
const repetitions = 3;
const targetMs = 7000;
const targetInstances = 370;
const activationPattern = /^(?<time>\S+) info \S+ configuration: Version (?<version>\d+) is in force/v;

/** Reads from the logs the wall-clock times at which the instances put a version in force. */
function readActivationTimes(measurement: MeasurementCluster, version: number): readonly number[] {
	return measurement.cluster.entries.flatMap(({program}) => program.errorLines.flatMap(line => {
		const groups = activationPattern.exec(line)?.groups;
		return groups && Number(groups.version) === version ? [Date.parse(groups.time)] : [];
	}));
}

async function measureCount(count: number, isByPeersAlone: boolean): Promise<Durations> {
	const measurement = new MeasurementCluster(isByPeersAlone ? {platform: {configuration_period: '10 min'}} : {}); // eslint-disable-line @typescript-eslint/naming-convention
	const durations = new Durations();
	try {
		const {cluster} = measurement;
		await cluster.startPlatform();
		await measurement.startEntries(count);
		await cluster.waitFor(async () => {
			const views = await Promise.all(cluster.entries.map(async entry => cluster.readMetric(entry, 'siskinnotch_peers_alive')));
			return views.every(alive => alive === count - 1);
		}, 30_000);
		for (let version = 2; version < 2 + repetitions; version++) {
			const startedAt = cluster.timers.wallClock();
			await cluster.createOperatorClient(cluster.entries[0]).submitSheet.mutate({ // eslint-disable-line no-await-in-loop
				text: writeSoakSheet(version, 1000), seen: version - 1, planner: 'measure', id: `version-${version}`,
			});
			await cluster.waitFor(async () => readActivationTimes(measurement, version).length >= count - 1, targetMs * 2); // eslint-disable-line no-await-in-loop
			durations.add(Math.max(...readActivationTimes(measurement, version)) - startedAt);
		}
	} finally {
		await measurement.stop();
	}

	return durations;
}

/** Measures the time from the submission of a sheet until it is in force at all instances, with gossip and table together and with gossip alone. */
export async function measureSpread(): Promise<Report> {
	const rows: Array<Array<string | number>> = [];
	const figures: Record<string, unknown> = {targetMs};
	for (const isByPeersAlone of [false, true]) {
		const way = isByPeersAlone ? 'peers alone' : 'peers and table';
		const points: Array<readonly [number, number]> = [];
		for (const count of instanceCounts) {
			const durations = await measureCount(count, isByPeersAlone); // eslint-disable-line no-await-in-loop
			const {p50, p99} = durations.percentiles();
			points.push([Math.log2(count), p99]);
			rows.push([way, count, p50, p99]);
		}

		const {slope, base} = fitLine(points);
		const atTarget = round(base + (slope * Math.log2(targetInstances)));
		rows.push([`${way}, worked out`, targetInstances, '', atTarget]);
		figures[way] = {points, msPerDoubling: round(slope), atTarget};
	}

	return {header: ['way', 'instances', 'p50 ms', 'slowest ms'], rows, figures};
}
