import {readFileSync} from 'node:fs';
import {totalmem} from 'node:os';
import process from 'node:process';
import {getHeapStatistics, setFlagsFromString} from 'node:v8';

/** Descriptors of a process where the system does not tell. */
const defaultDescriptors = 1024;

/** Returns the memory in bytes that this process may use: the least of the limits of its heap, its control group and its machine. */
export function findMemoryLimit(): number {
	const constrained = process.constrainedMemory();
	return Math.min(getHeapStatistics().heap_size_limit, totalmem(), constrained > 0 ? constrained : Number.POSITIVE_INFINITY);
}

/** Returns the number of descriptors that this process may open. */
export function findDescriptorLimit(): number {
	try {
		const groups = /^Max open files\s+(?<soft>\d+)/mv.exec(readFileSync('/proc/self/limits', 'utf8'))?.groups;
		return Number(groups?.soft ?? defaultDescriptors);
	} catch {
		return defaultDescriptors;
	}
}

/** Growth of the young generation of the heap where memory is plentiful, as the runtime has it, and where it is not. */
const youngGenerationGrowth = 2;
const noGrowth = 1;
/** Memory in bytes from which the young generation may grow: by default up to 48 MB of garbage before it is collected. */
const minGrowthMemory = 320_000_000;

function setYoungGenerationGrowth(growth: number): void {
	setFlagsFromString(`--semi-space-growth-factor=${growth}`);
}

/** Keeps the young generation of the heap at its present size. */
export function stopYoungGeneration(): void {
	setYoungGenerationGrowth(noGrowth);
}

/** Lets the young generation of the heap grow if the process may occupy enough memory. */
export function limitYoungGeneration(memory: number): void {
	setYoungGenerationGrowth(memory < minGrowthMemory ? noGrowth : youngGenerationGrowth);
}
