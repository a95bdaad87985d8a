import {getIncarnationId, type BackendServer} from '../pipelines/backend-server.js';
import {type PipelineSelector, type PipelineRequest} from '../pipelines/pipeline-selector.js';
import {type Pipeline} from '../pipelines/pipeline.js';

/** Chooses pipelines for one stream, which learns on its way which stages fail it. */
export class StreamPipelineSelector {
	/** Lives of stages that were found faulty under this stream. */
	private readonly excluded = new Set<string>();
	/** Lives of first stages under which it fell silent for no stated reason. */
	private readonly avoided = new Set<string>();

	constructor(private readonly chooser: PipelineSelector) {}

	/** A stage was found faulty; it is not used again. */
	exclude(server: BackendServer): void {
		this.excluded.add(getIncarnationId(server));
	}

	/** The stream fell silent under this first stage; it is used again only where there is no other way. */
	avoid(server: BackendServer): void {
		this.avoided.add(getIncarnationId(server));
	}

	/** The pipeline to use now; undefined where none has room. */
	select(wanted: Omit<PipelineRequest, 'excluded'>, now: number): Pipeline | undefined {
		const other = this.chooser.select({...wanted, excluded: new Set([...this.excluded, ...this.avoided])}, now);
		return other ?? (this.avoided.size > 0 ? this.chooser.select({...wanted, excluded: this.excluded}, now) : undefined);
	}
}
