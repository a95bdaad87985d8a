import {readFileSync} from 'node:fs';
import {InstanceRole} from '../src/store/instance-role.js';
import {InstanceState} from '../src/store/instance-state.js';
import {Program} from '../harness/program.js';
import {fitLine, type Report, round} from './report.js';
import {MeasurementCluster} from './measurement-cluster.js';

const instanceCounts = [3, 9, 20, 40];
const backendCounts = [0, 12, 36];
const windowMs = 8000;
const targets = {cpuPercent: 1.9, megabytes: 32, bytesPerSecond: 6000};
const targetInstances = 370;
const targetReplicas = 1800;

/** Reads how many bytes the loopback interface has received. Each packet counts once. */
function loopbackBytes(): number {
	const line = readFileSync('/proc/net/dev', 'utf8').split('\n').find(candidate => candidate.trim().startsWith('lo:')) ?? '';
	return Number(line.trim().split(/\s+/v)[1]);
}

/** Cost of an idle entry instance. */
type Cost = {
	/** CPU time in percent of a core, for each instance. */
	readonly cpu: number;
	/** Network traffic in bytes a second for each instance, including TCP and IP headers. */
	readonly bytes: number;
	/** Megabytes of used heap. */
	readonly heap: number;
	/** Megabytes of resident memory. */
	readonly resident: number;
};

async function measureCost(count: number, backends: number): Promise<Cost> {
	const measurement = new MeasurementCluster();
	const {cluster} = measurement;
	try {
		await cluster.startPlatform();
		for (let index = 0; index < Math.ceil(backends / 12); index++) {
			await cluster.startRecords(`records-${index}`); // eslint-disable-line no-await-in-loop
		}

		// Up to 12 list entries share one process, because only the load queries that they cause are measured.
		await cluster.updateInstanceList(Array.from({length: backends}, (_, index) => ({
			...cluster.backends[Math.floor(index / 12)].listed, id: `replica-${index}`, role: InstanceRole.Plain, state: InstanceState.Live,
		})));
		await measurement.startEntries(count);
		await cluster.timers.sleep(4000);
		const sum = async (series: string) => {
			const values = await Promise.all(cluster.entries.map(async entry => cluster.readMetric(entry, series)));
			let total = 0;
			for (const value of values) {
				total += value;
			}

			return total / count;
		};

		const cpuBefore = await sum('siskinnotch_cpu_microseconds');
		const bytesBefore = loopbackBytes();
		await cluster.timers.sleep(windowMs);
		const bytes = loopbackBytes() - bytesBefore;
		const cpu = await sum('siskinnotch_cpu_microseconds') - cpuBefore;
		return {
			cpu: cpu / (windowMs * 1000) * 100,
			bytes: bytes / count / (windowMs / 1000),
			heap: await sum('siskinnotch_heap_bytes') / 1e6,
			resident: await sum('siskinnotch_resident_bytes') / 1e6,
		};
	} finally {
		await measurement.stop();
	}
}

/** Measures the memory in megabytes of a process that only loads the same modules. */
async function measureBaseline(): Promise<{heap: number; resident: number}> {
	const program = Program.start('bare', 'measures/bare.js', []);
	const line = await program.waitForLine('memory');
	await program.kill();
	const [heap, resident] = line.split(' ').slice(1).map(Number);
	return {heap: heap / 1e6, resident: resident / 1e6};
}

/** Measures the cost of the control plane for an idle instance by the number of instances and of backend servers, and extrapolates it to the target sizes. */
export async function measureControl(): Promise<Report> {
	const bare = await measureBaseline();
	const rows: Array<Array<string | number>> = [['bare process', '', '', '', round(bare.heap), round(bare.resident)]];
	const byInstances: Array<[number, Cost]> = [];
	const byReplicas: Array<[number, Cost]> = [];
	const addRow = (count: number, backends: number, {cpu, bytes, heap, resident}: Cost) => {
		rows.push([count, backends, round(cpu, 2), round(bytes, 0), round(heap), round(resident)]);
	};

	for (const count of instanceCounts) {
		const cost = await measureCost(count, 0); // eslint-disable-line no-await-in-loop
		byInstances.push([count, cost]);
		addRow(count, 0, cost);
	}

	for (const backends of backendCounts) {
		const cost = await measureCost(3, backends); // eslint-disable-line no-await-in-loop
		byReplicas.push([backends, cost]);
		addRow(3, backends, cost);
	}

	const extrapolate = (field: keyof Cost) => {
		const instances = fitLine(byInstances.map(([count, cost]) => [count, cost[field]]));
		const replicas = fitLine(byReplicas.map(([count, cost]) => [count, cost[field]]));
		return {
			perInstance: round(instances.slope, 4),
			perReplica: round(replicas.slope, 4),
			base: round(instances.base, 2),
			atTarget: round(instances.base + (instances.slope * targetInstances) + (replicas.slope * targetReplicas), 1),
		};
	};

	const figures = {
		cpu: extrapolate('cpu'), bytes: extrapolate('bytes'), heap: extrapolate('heap'), resident: extrapolate('resident'), bare, targets,
	};
	rows.push(['370, worked out', targetReplicas, figures.cpu.atTarget, figures.bytes.atTarget, figures.heap.atTarget, figures.resident.atTarget]);
	return {header: ['instances', 'replicas', 'CPU % of a core', 'bytes/s', 'heap MB', 'resident MB'], rows, figures};
}
