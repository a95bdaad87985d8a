import {type Histogram} from 'hdr-histogram-js';
// Imports the builder only: the package's main module also loads codecs and writers, which slows down every start.
import {build} from 'hdr-histogram-js/dist/HistogramBuilder.js';

const reportedPercentiles = [50, 95, 99] as const;
const maxTrackedMicroseconds = 3_600_000_000;

function formatSeries(name: string, labels: Readonly<Record<string, string>>): string {
	const entries = Object.entries(labels).map(([label, value]) => `${label}="${value}"`);
	return entries.length === 0 ? name : `${name}{${entries.join(',')}}`;
}

/** Counters, gauges and histograms of a process, rendered in the Prometheus text format. */
export class Metrics {
	private readonly counters = new Map<string, number>();
	private readonly gauges = new Map<string, () => number>();
	private readonly histograms = new Map<string, Histogram>();

	/** Increments a counter. */
	count(name: string, amount = 1, labels: Readonly<Record<string, string>> = {}): void {
		const series = formatSeries(name, labels);
		this.counters.set(series, (this.counters.get(series) ?? 0) + amount);
	}

	/** Returns the value of a counter; 0 if it was never incremented. */
	getCount(name: string, labels: Readonly<Record<string, string>> = {}): number {
		return this.counters.get(formatSeries(name, labels)) ?? 0;
	}

	/** Returns the values of the counters with the given names, by series. */
	getCounts(names: ReadonlySet<string>): ReadonlyArray<[string, number]> {
		return [...this.counters].filter(([series]) => names.has(series.split('{', 1)[0]));
	}

	/** Registers a gauge whose value is read each time the metrics are rendered. */
	gauge(name: string, read: () => number, labels: Readonly<Record<string, string>> = {}): void {
		this.gauges.set(formatSeries(name, labels), read);
	}

	/** Records a duration in milliseconds in a histogram, which stores it in microseconds. */
	record(name: string, milliseconds: number): void {
		let histogram = this.histograms.get(name);
		if (!histogram) {
			histogram = build({lowestDiscernibleValue: 1, highestTrackableValue: maxTrackedMicroseconds, numberOfSignificantValueDigits: 2});
			this.histograms.set(name, histogram);
		}

		histogram.recordValue(Math.min(maxTrackedMicroseconds, Math.max(0, Math.round(milliseconds * 1000))));
	}

	/** Returns a percentile of a histogram in milliseconds; 0 if nothing was recorded. */
	percentile(name: string, percentile: number): number {
		return (this.histograms.get(name)?.getValueAtPercentile(percentile) ?? 0) / 1000;
	}

	/** Renders all series in the Prometheus text format. */
	render(): string {
		const lines: string[] = [];
		for (const [series, value] of this.counters) {
			lines.push(`${series} ${value}`);
		}

		for (const [series, read] of this.gauges) {
			lines.push(`${series} ${read()}`);
		}

		for (const [name, histogram] of this.histograms) {
			for (const percentile of reportedPercentiles) {
				lines.push(`${name}{quantile="${percentile / 100}"} ${histogram.getValueAtPercentile(percentile) / 1000}`);
			}

			lines.push(`${name}_count ${histogram.totalCount}`);
		}

		return `${lines.toSorted().join('\n')}\n`;
	}
}
