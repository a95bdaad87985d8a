import {getIncarnationId, type BackendServer} from '../../pipelines/backend-server.js';
import {computeUsualRequestTokens, type EngineModel} from '../../pipelines/engine-model.js';
import {type PipelineRequest} from '../../pipelines/pipeline-request.js';
import {type PipelineSelector} from '../../pipelines/pipeline-selector.js';
import {type Pipeline} from '../../pipelines/pipeline.js';
import {type ExecutionHistory} from '../execution-history.js';
import {type RelayRequest} from '../relay-request.js';
import {type StreamProgress} from './stream-progress.js';
import {type StreamTokens} from './stream-tokens.js';

/** Multiple of the usual tokens above which a request counts as large. */
const largeRequestMultiple = 1.5;

/** What a selector needs to know of its stream. */
export type SelectedStream = {
	readonly request: RelayRequest;
	readonly model: EngineModel;
	readonly executions: ExecutionHistory;
	readonly progress: StreamProgress;
	readonly tokens: StreamTokens;
};

/** Selects pipelines for one stream, without the stages that have already failed it. */
export class StreamPipelineSelector {
	/** Fraction of a server's capacity up to which the stream may fill it; 1 where undefined. */
	occupancyLimit?: number;
	/** Incarnation ids of stages that were found faulty during this stream. */
	private readonly excluded = new Set<string>();
	/** Incarnation ids of stages on which the stream went silent. */
	private readonly avoided = new Set<string>();
	/** Incarnation ids of first stages that failed an attempt, the latest last. */
	private readonly failed = new Set<string>();
	/** The pipeline that the stream waits for, or last waited for. */
	private awaited?: Pipeline;

	constructor(private readonly selector: PipelineSelector, private readonly stream: SelectedStream) {}

	/** Tokens that the request is expected to hold when it ends. The caller's bound on the answer is far above the length of most answers. */
	get expectedTokens(): number {
		return this.stream.tokens.expected;
	}

	/** Whether the request needs so much capacity that it seldom fits beside usual ones. */
	get isLarge(): boolean {
		return this.expectedTokens > computeUsualRequestTokens(this.stream.model) * largeRequestMultiple;
	}

	/** Whether the stream may use fewer pipelines than another one with as many tokens. */
	get isRestricted(): boolean {
		return this.excluded.size > 0 || this.stream.executions.allowedIncarnations !== undefined;
	}

	/** Whether the limit of the route leaves no first stage that is not excluded. */
	get isExhausted(): boolean {
		const allowed = this.stream.executions.allowedIncarnations;
		return allowed !== undefined && [...allowed].every(incarnationId => this.excluded.has(incarnationId));
	}

	/** Excludes a faulty stage for the rest of the stream. */
	exclude(server: BackendServer): void {
		this.excluded.add(getIncarnationId(server));
	}

	/** Avoids a stage on which the stream went silent; it is selected again only if there is no alternative. */
	avoid(server: BackendServer): void {
		this.avoided.add(getIncarnationId(server));
	}

	/** Records that an attempt failed at its first stage, or on the way there; the stage is selected again only if there is no alternative. */
	recordFailure(server: BackendServer): void {
		const incarnationId = getIncarnationId(server);
		this.failed.delete(incarnationId);
		this.failed.add(incarnationId);
	}

	/** Selects the pipeline to use now; returns undefined if none has capacity. */
	select(now: number): Pipeline | undefined {
		return this.selectAlternative(now) ?? (this.avoided.size > 0 ? this.selectWithout(this.excluded, now) : undefined);
	}

	/**
	Selects a pipeline without avoided stages, to replace one that is in use.

	@param faulty - a stage that is known to be silent now; stages that were avoided before it are then used if there is no other pipeline, since they may work again
	@returns undefined if no pipeline has capacity
	*/
	selectAlternative(now: number, faulty?: BackendServer): Pipeline | undefined {
		return this.selectWithout(new Set([...this.excluded, ...this.avoided]), now)
			?? (faulty && this.avoided.size > 1 ? this.selectWithout(new Set([...this.excluded, getIncarnationId(faulty)]), now) : undefined);
	}

	/** Selects the pipeline to wait for, although its stages may lack capacity now. */
	selectBusy(now: number): Pipeline | undefined {
		this.awaited = this.selector.selectBusy(this.createRequest(this.excluded, now), this.awaited, now);
		return this.awaited;
	}

	/** Selects a pipeline without the excluded stages: if possible one without those that failed an attempt, or at least without the one that did so last. */
	private selectWithout(excluded: ReadonlySet<string>, now: number): Pipeline | undefined {
		const failed = [...this.failed].filter(incarnationId => !excluded.has(incarnationId));
		for (const count of new Set([failed.length, Math.min(1, failed.length), 0])) {
			const pipeline = this.selector.select(this.createRequest(new Set([...excluded, ...failed.slice(failed.length - count)]), now), now);
			if (pipeline) {
				return pipeline;
			}
		}

		return undefined;
	}

	private createRequest(excluded: ReadonlySet<string>, now: number): PipelineRequest {
		const {request, model, tokens, executions} = this.stream;
		return {
			service: request.service.name,
			model,
			tokens: tokens.expected,
			// A stream that resumes has its earlier events read again.
			promptTokens: tokens.context,
			latencyTarget: this.computeLatencyTarget(now),
			eventGapTarget: request.route.eventGapTarget,
			excluded,
			firstStageCandidates: executions.allowedIncarnations,
			occupancyLimit: this.occupancyLimit,
		};
	}

	/** Returns the milliseconds within which the next event is on time; undefined if it is late already. */
	private computeLatencyTarget(now: number): number | undefined {
		const {request: {route}, progress} = this.stream;
		const limit = progress.hasDelivered ? route.eventGapTarget : route.latencyTarget;
		const remaining = limit === undefined ? 0 : progress.lastDeliveredAt + limit - now;
		return remaining > 0 ? remaining : undefined;
	}
}
