import {type ActiveCatalog} from '../catalog/active-catalog.js';
import {type PipelineRequest} from '../pipelines/pipeline-request.js';
import {type PipelineSelector} from '../pipelines/pipeline-selector.js';
import {Failure} from '../results/failure.js';
import {ResultCode} from '../results/result-code.js';
import {type SelectionExplanation} from '../scheduling/selection-explanation.js';
import {type TimerService} from '../time/timer-service.js';
import {type Reply, toReply} from './operator-request-handler.js';
import {isSameSecret, parseBearerToken} from './secret.js';

/** The request whose selection is explained. */
export type SelectionQuery = {
	readonly route: string;
	/** The usual ones of the model where undefined. */
	readonly promptTokens?: number;
	readonly answerTokens?: number;
	readonly workspace?: string;
};

/** The selection for a service of a route. */
export type RouteSelection = SelectionExplanation & {
	readonly route: string;
	readonly service: string;
	/** 0 is the most urgent. */
	readonly priority: number;
	readonly promptTokens: number;
	readonly answerTokens: number;
	/** Fraction of a server's capacity up to which the request may fill it; the rest is reserved for more urgent ones. */
	readonly occupancyLimit: number;
};

/** Selects pipelines, and explains a selection without side effects if it can. */
export type SelectionSource = Pick<PipelineSelector, 'select'> & {
	explain?(request: PipelineRequest, now: number): SelectionExplanation;
};

export type SelectionRequestHandlerDependencies = {
	/** Secret of the operators; no request is answered if it is empty. */
	readonly secret: string;
	readonly activeCatalog: ActiveCatalog;
	readonly selector: SelectionSource;
	/** Returns the fraction of a server's capacity up to which a request of a priority may fill it. */
	readonly getOccupancyLimit: (service: string, priority: number, now: number) => number;
	readonly timers: TimerService;
};

/** Answers the operators of a pipeline router. */
export class SelectionRequestHandler {
	constructor(private readonly dependencies: SelectionRequestHandlerDependencies) {}

	/** Whether an Authorization header has the secret of the operators. */
	isOperator(header: string | undefined): boolean {
		const {secret} = this.dependencies;
		return secret !== '' && isSameSecret(parseBearerToken(header) ?? '', secret);
	}

	/** Explains for each service of a route where a request would go now. */
	async explain(query: SelectionQuery): Promise<Reply<readonly RouteSelection[]>> {
		return toReply(() => this.explainServices(query));
	}

	private explainServices({route: name, promptTokens, answerTokens, workspace}: SelectionQuery): readonly RouteSelection[] {
		const {activeCatalog, selector, getOccupancyLimit, timers} = this.dependencies;
		const catalog = activeCatalog.current?.catalog;
		if (!catalog || !selector.explain) {
			throw new Failure(ResultCode.NotReady, catalog ? 'this build cannot explain selections' : 'the instance has no configuration yet');
		}

		const route = catalog.routes.find(candidate => candidate.name === name);
		const services = route?.targets.flatMap(({service, weight}) => weight > 0 ? catalog.services.get(service) ?? [] : []).filter(({engine}) => engine !== undefined) ?? [];
		if (!route || services.length === 0) {
			throw new Failure(ResultCode.PathUnknown, `the configuration has no route ${name} to a service with layers`);
		}

		const caller = catalog.workspaces?.find(candidate => candidate.name === workspace);
		if (workspace !== undefined && !caller) {
			throw new Failure(ResultCode.ServiceNotGranted, `the configuration has no workspace ${workspace}`);
		}

		const priority = caller?.priority ?? route.priority;
		const now = timers.now();
		return services.map(({name: service, engine}) => {
			const model = engine!;
			const prompt = promptTokens ?? model.usualPrompt;
			const answer = answerTokens ?? model.usualAnswer;
			const occupancyLimit = getOccupancyLimit(service, priority, now);
			return {
				...selector.explain!({
					service, model, tokens: prompt + answer, promptTokens: prompt, latencyTarget: route.latencyTarget, eventGapTarget: route.eventGapTarget, occupancyLimit, excluded: new Set(),
				}, now),
				route: name, service, priority, promptTokens: prompt, answerTokens: answer, occupancyLimit,
			};
		});
	}
}
