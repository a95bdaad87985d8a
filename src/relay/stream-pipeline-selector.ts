import {getIncarnationId, type BackendServer} from '../pipelines/backend-server.js';
import {type PipelineSelector, type PipelineRequest} from '../pipelines/pipeline-selector.js';
import {type Pipeline} from '../pipelines/pipeline.js';

/** Selects pipelines for one stream, without the stages that have already failed it. */
export class StreamPipelineSelector {
	/** Incarnation ids of stages that were found faulty during this stream. */
	private readonly excluded = new Set<string>();
	/** Incarnation ids of stages on which the stream went silent. */
	private readonly avoided = new Set<string>();

	constructor(private readonly selector: PipelineSelector) {}

	/** Excludes a faulty stage for the rest of the stream. */
	exclude(server: BackendServer): void {
		this.excluded.add(getIncarnationId(server));
	}

	/** Avoids a stage on which the stream went silent; it is selected again only if there is no alternative. */
	avoid(server: BackendServer): void {
		this.avoided.add(getIncarnationId(server));
	}

	/** Selects the pipeline to use now; returns undefined if none has capacity. */
	select(request: Omit<PipelineRequest, 'excluded'>, now: number): Pipeline | undefined {
		return this.selectAlternative(request, now)
			?? (this.avoided.size > 0 ? this.selector.select({...request, excluded: this.excluded}, now) : undefined);
	}

	/**
	Selects a pipeline without avoided stages, to replace one that is in use.

	@param faulty - a stage that is known to be silent now; stages that were avoided before it are then used if there is no other pipeline, since they may work again
	@returns undefined if no pipeline has capacity
	*/
	selectAlternative(request: Omit<PipelineRequest, 'excluded'>, now: number, faulty?: BackendServer): Pipeline | undefined {
		const preferred = this.selector.select({...request, excluded: new Set([...this.excluded, ...this.avoided])}, now);
		return preferred ?? (faulty && this.avoided.size > 1 ? this.selector.select({...request, excluded: new Set([...this.excluded, getIncarnationId(faulty)])}, now) : undefined);
	}
}
