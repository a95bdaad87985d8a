import {readdirSync, readFileSync} from 'node:fs';

const bytesPerKilobyte = 1024;

/** Returns the largest amount of memory that a process has used, in bytes. */
export function readPeakMemory(pid: number): number {
	const status = readFileSync(`/proc/${pid}/status`, 'utf8');
	return Number(/^VmHWM:\s+(?<kilobytes>\d+) kB$/mv.exec(status)!.groups!.kilobytes) * bytesPerKilobyte;
}

/** Returns the number of descriptors that a process has open. */
export function countDescriptors(pid: number): number {
	return readdirSync(`/proc/${pid}/fd`).length;
}
