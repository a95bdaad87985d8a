import {readFileSync} from 'node:fs';
import {totalmem} from 'node:os';
import process from 'node:process';
import {getHeapStatistics} from 'node:v8';

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
