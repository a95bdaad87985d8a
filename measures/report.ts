import {build, type Histogram} from 'hdr-histogram-js';
import {formatTable} from '../src/command/output.js';

/** The result of a measurement: a table to read, and the figures for the JSON line. */
export type Report = {
	readonly header: readonly string[];
	readonly rows: ReadonlyArray<ReadonlyArray<string | number>>;
	readonly figures: Readonly<Record<string, unknown>>;
};

/** The 50th, 95th and 99th percentile in milliseconds, and the number of samples. */
export type Percentiles = {
	readonly p50: number;
	readonly p95: number;
	readonly p99: number;
	readonly count: number;
};

/** A histogram of durations in milliseconds, with a resolution of one microsecond and three significant digits. */
export class Durations {
	private readonly histogram: Histogram = build({lowestDiscernibleValue: 1, highestTrackableValue: 600_000_000, numberOfSignificantValueDigits: 3});

	add(milliseconds: number): void {
		this.histogram.recordValue(Math.max(1, Math.round(milliseconds * 1000)));
	}

	percentiles(): Percentiles {
		const at = (percentile: number) => round(this.histogram.getValueAtPercentile(percentile) / 1000);
		return {
			p50: at(50), p95: at(95), p99: at(99), count: this.histogram.totalCount,
		};
	}
}

/** Rounds to a number of decimals. */
export function round(value: number, decimals = 1): number {
	return Number(value.toFixed(decimals));
}

/** Fits a line by least squares. `base` is its value at zero. */
export function fitLine(points: ReadonlyArray<readonly [x: number, y: number]>): {slope: number; base: number} {
	const count = points.length;
	let sumX = 0;
	let sumY = 0;
	let sumXx = 0;
	let sumXy = 0;
	for (const [x, y] of points) {
		sumX += x;
		sumY += y;
		sumXx += x * x;
		sumXy += x * y;
	}

	const slope = ((count * sumXy) - (sumX * sumY)) / ((count * sumXx) - (sumX * sumX));
	return {slope, base: (sumY - (slope * sumX)) / count};
}

/** Prints the table and, as the last line, the figures as JSON. */
export function printReport(name: string, seed: number, {header, rows, figures}: Report): void {
	console.log(formatTable(header, rows));
	console.log(JSON.stringify({name, seed, ...figures}));
}
