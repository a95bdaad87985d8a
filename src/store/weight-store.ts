/** The platform's rate-limited store of model weights. */
export abstract class WeightStore {
	/** Fetches the versions of a model that can be loaded. Throws PlatformError. */
	abstract versions(model: string): Promise<readonly string[]>;
}
