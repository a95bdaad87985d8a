/** A type of accelerator. */
export type AcceleratorType = {
	readonly name: string;
	/** Memory available for layers and requests, in megabytes. */
	readonly megabytes: number;
	/** Duration of a token step relative to the reference accelerator; above 1 is slower. */
	readonly pace: number;
	/** Duration of prompt processing relative to the reference accelerator. */
	readonly readFactor: number;
};

/** The model that the engines of a service run, and its performance figures. Durations are those of the reference accelerator running all layers. */
export type EngineModel = {
	readonly layers: number;
	readonly layerMegabytes: number;
	/** Memory of one token across all layers, in bytes. */
	readonly tokenBytes: number;
	/** Number of requests that a backend server runs concurrently as the first stage of a pipeline. */
	readonly slots: number;
	/** Duration of a token step, in milliseconds. */
	readonly stepTime: number;
	/** Milliseconds that each running request adds to a step. */
	readonly stepTimePerRequest: number;
	/** Milliseconds that each 1,000 tokens of context add to a step. */
	readonly stepTimePerThousandTokens: number;
	/** Prompt tokens processed per millisecond. */
	readonly prefillRate: number;
	/** Tokens in one event of a stream. */
	readonly tokensPerEvent: number;
	/** Bytes that a stage sends to the next one for each token. */
	readonly activationBytes: number;
	/** Bandwidth between availability zones in megabits per second, shared by all servers. */
	readonly interzoneMegabits: number;
	/** Prompt tokens of a typical request. */
	readonly usualPrompt: number;
	/** Answer tokens of a typical request. */
	readonly usualAnswer: number;
	/** Milliseconds to load all layers while the weight store is below its rate limit. */
	readonly loadTime: number;
	/** Accelerator types by name. */
	readonly acceleratorTypes: ReadonlyMap<string, AcceleratorType>;
};

const bytesPerMegabyte = 1_000_000;

/** Returns the megabytes that one token takes in one layer. */
export function computeTokenMegabytes(model: EngineModel): number {
	return model.tokenBytes / model.layers / bytesPerMegabyte;
}

/** Returns how many tokens fit into an accelerator's memory next to a number of layers. */
export function computeTokenCapacity(model: EngineModel, acceleratorType: AcceleratorType, layers: number): number {
	if (layers <= 0) {
		return 0;
	}

	const free = acceleratorType.megabytes - (layers * model.layerMegabytes);
	return Math.max(0, free / (layers * computeTokenMegabytes(model)));
}

/** Returns the tokens that a typical request holds when it ends. */
export function computeUsualRequestTokens(model: EngineModel): number {
	return model.usualPrompt + model.usualAnswer;
}

/** Returns the largest number of layers whose weights fit into an accelerator's memory. */
export function computeMaxLayers(model: EngineModel, acceleratorType: AcceleratorType): number {
	return Math.min(model.layers, Math.floor(acceleratorType.megabytes / model.layerMegabytes));
}
