/** Bounds of the correction of a predictor's mean. */
const minCorrection = 0.5;
const maxCorrection = 2;

/** Errors of a predictor as it ran. Older errors count less and less. */
export class PredictorError {
	private count = 0;
	private squares = 0;
	private absolutes = 0;
	private actual = 0;
	private uncorrected = 0;

	/**
	@param decay - factor by which an error counts less after each further one
	*/
	constructor(private readonly decay: number) {}

	/**
	Records a prediction and the actual value.

	@param correction - factor by which the prediction was multiplied
	@param weight - number of values that this one stands for, including those that were lost
	*/
	add({predicted, correction, actual, weight}: {predicted: number; correction: number; actual: number; weight: number}): void {
		const error = predicted - actual;
		this.count = (this.count * this.decay) + weight;
		this.squares = (this.squares * this.decay) + (weight * (error ** 2));
		this.absolutes = (this.absolutes * this.decay) + (weight * Math.abs(error));
		this.actual = (this.actual * this.decay) + (weight * actual);
		this.uncorrected = (this.uncorrected * this.decay) + (weight * predicted / correction);
	}

	/**
	Returns the factor by which to multiply predictions, so that their sum is right.

	@param prior - sum of the values that were predicted right, as assumed without observations
	*/
	computeCorrection(prior: number): number {
		return Math.min(maxCorrection, Math.max(minCorrection, (this.actual + prior) / (this.uncorrected + prior)));
	}

	/** Mean absolute error; undefined if none was recorded. */
	get meanAbsolute(): number | undefined {
		return this.count > 0 ? this.absolutes / this.count : undefined;
	}

	/**
	Returns the mean squared error.

	@param prior - mean squared error that is assumed without observations
	@param priorCount - number of observations that the prior counts as
	*/
	computeMeanSquare(prior: number, priorCount: number): number {
		return (this.squares + (prior * priorCount)) / (this.count + priorCount);
	}
}
