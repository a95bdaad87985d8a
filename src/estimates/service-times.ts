/** Predictions that the assumption of a right prediction counts as. */
const priorCount = 10;
/** Bounds of the ratio of actual to predicted times. */
const minRatio = 0.25;
const maxRatio = 4;

/** Times of one service; older ones count less and less. */
type Times = {
	count: number;
	actual: number;
	predicted: number;
	/** Sum of the absolute errors of the corrected predictions. */
	errors: number;
};

/** Limits of what is kept of earlier times. */
export type ServiceTimesOptions = {
	/** Further times of its service after which a time counts half. */
	readonly halfLife: number;
	/** Services that are kept; the least recently recorded one is dropped. */
	readonly maxServices: number;
};

/** Corrects times that are predicted from the model and the load by the ratio of actual to predicted times of the same service. Times are in milliseconds. */
export class ServiceTimes {
	/** The least recently recorded service first. */
	private readonly services = new Map<string, Times>();

	constructor(private readonly options: ServiceTimesOptions) {}

	/** Returns the time to expect instead of a predicted one. */
	correct(service: string, predicted: number): number {
		return predicted * this.getRatio(service);
	}

	/** Returns the ratio of actual to predicted times; 1 without observations. */
	getRatio(service: string): number {
		const times = this.services.get(service);
		if (!times || times.count === 0) {
			return 1;
		}

		const prior = priorCount * times.predicted / times.count;
		return prior > 0 ? Math.min(maxRatio, Math.max(minRatio, (times.actual + prior) / (times.predicted + prior))) : 1;
	}

	/** Returns the mean absolute error of the corrected predictions; undefined if none was recorded. */
	getError(service: string): number | undefined {
		const times = this.services.get(service);
		return times && times.errors / times.count;
	}

	/** Records a predicted time, before its correction, and the actual one. */
	record(service: string, predicted: number, actual: number): void {
		const decay = 2 ** (-1 / this.options.halfLife);
		const {count, actual: actualSum, predicted: predictedSum, errors} = this.services.get(service) ?? {
			count: 0, actual: 0, predicted: 0, errors: 0,
		};
		const error = Math.abs(this.correct(service, predicted) - actual);
		this.services.delete(service);
		this.services.set(service, {
			count: (count * decay) + 1, actual: (actualSum * decay) + actual, predicted: (predictedSum * decay) + predicted, errors: (errors * decay) + error,
		});
		const [oldest] = this.services.keys();
		if (this.services.size > this.options.maxServices) {
			this.services.delete(oldest);
		}
	}
}
