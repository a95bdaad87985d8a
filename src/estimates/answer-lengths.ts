import {type AnswerEstimate} from './answer-estimate.js';
import {AnswerEstimator, type AnswerRecord} from './answer-estimator.js';
import {type AnswerForecast} from './answer-forecast.js';
import {type AnswerRequest} from './answer-request.js';
import {type Predictor} from './predictor.js';
import {RouteLengths} from './route-lengths.js';

/** Limits of what is kept of earlier answers. */
export type AnswerLengthsOptions = {
	/** Further answers of its route after which an answer counts half. */
	readonly halfLife: number;
	/** Routes that are kept; the least recently used one is dropped. */
	readonly maxRoutes: number;
};

/** Predicts the tokens of answers from earlier answers of the same route and from the callers' estimates, each as far as it was right before. */
export class AnswerLengths extends AnswerEstimator {
	/** The least recently used route first. */
	private readonly routes = new Map<string, RouteLengths>();
	/** Kept until the request ends, so that each predictor is compared with what it gave at the start. */
	private readonly forecasts = new WeakMap<AnswerRequest, AnswerForecast>();

	constructor(private readonly options: AnswerLengthsOptions) {
		super();
	}

	/** Returns the mean absolute error of a predictor for a route, in tokens; undefined if none was recorded. */
	getError(route: string, predictor: Predictor): number | undefined {
		return this.routes.get(route)?.getError(predictor);
	}

	estimateRemaining(request: AnswerRequest, writtenTokens: number): AnswerEstimate {
		return this.getForecast(request).estimateRemaining(writtenTokens);
	}

	record(request: AnswerRequest, writtenTokens: number, isComplete: boolean): AnswerRecord {
		const forecast = this.getForecast(request);
		const estimate = forecast.estimateRemaining(0);
		this.findRoute(request.route).record(request, forecast, writtenTokens, isComplete);
		return {estimate, predictions: forecast.parts.map(({predictor, curve, weight}) => ({predictor, tokens: forecast.computeTokens(curve), weight}))};
	}

	private getForecast(request: AnswerRequest): AnswerForecast {
		const forecast = this.forecasts.get(request) ?? this.findRoute(request.route).forecast(request);
		this.forecasts.set(request, forecast);
		return forecast;
	}

	private findRoute(name: string): RouteLengths {
		const route = this.routes.get(name) ?? new RouteLengths(2 ** (-1 / this.options.halfLife));
		this.routes.delete(name);
		this.routes.set(name, route);
		const [oldest] = this.routes.keys();
		if (this.routes.size > this.options.maxRoutes) {
			this.routes.delete(oldest);
		}

		return route;
	}
}
