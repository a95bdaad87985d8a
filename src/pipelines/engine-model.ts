/** A kind of accelerator that a backend server has. */
export type AcceleratorType = {
	readonly name: string;
	/** Memory for layers and requests, in megabytes. */
	readonly megabytes: number;
	/** Time of a token step relative to the reference accelerator. */
	readonly pace: number;
	/** Time of reading a prompt relative to the reference accelerator. */
	readonly readFactor: number;
};

/** What the engines of a service tell of their model and of their speed. Times are of the reference accelerator with all layers. */
export type EngineModel = {
	readonly layers: number;
	readonly layerMegabytes: number;
	/** Memory of one token in all layers, in bytes. */
	readonly tokenBytes: number;
	/** Requests that a backend server runs at once as the first of a pipeline. */
	readonly slots: number;
	/** Milliseconds of a token step. */
	readonly stepTime: number;
	/** Milliseconds that each running request adds to a step. */
	readonly stepTimePerRequest: number;
	/** Milliseconds that each 1,000 tokens of context add to a step. */
	readonly stepTimePerThousandTokens: number;
	/** Prompt tokens read in a millisecond. */
	readonly prefillRate: number;
	/** Tokens in one event of a stream. */
	readonly tokensPerEvent: number;
	/** Bytes that a stage passes on for each token. */
	readonly activationBytes: number;
	/** Megabits a second between availability zones, for all servers together. */
	readonly interzoneMegabits: number;
	readonly usualPrompt: number;
	readonly usualAnswer: number;
	/** Milliseconds to load all layers while the weight store has room. */
	readonly loadTime: number;
	readonly acceleratorTypes: ReadonlyMap<string, AcceleratorType>;
};

const bytesOfMegabyte = 1_000_000;

/** Megabytes that one token takes in one layer. */
export function computeTokenMegabytes(model: EngineModel): number {
	return model.tokenBytes / model.layers / bytesOfMegabyte;
}

/** Tokens of requests that a card has memory for beside a number of layers. */
export function computeTokenCapacity(model: EngineModel, card: AcceleratorType, layers: number): number {
	if (layers <= 0) {
		return 0;
	}

	const free = card.megabytes - (layers * model.layerMegabytes);
	return Math.max(0, free / (layers * computeTokenMegabytes(model)));
}

/** Tokens that a usual request holds at its end. */
export function computeUsualRequestTokens(model: EngineModel): number {
	return model.usualPrompt + model.usualAnswer;
}

/** The most layers whose weights fit on a card. */
export function computeMaxLayers(model: EngineModel, card: AcceleratorType): number {
	return Math.min(model.layers, Math.floor(card.megabytes / model.layerMegabytes));
}
