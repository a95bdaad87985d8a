/** The platform's object store. Each method throws PlatformError. */
export abstract class ObjectStore {
	abstract put(key: string, text: string): Promise<void>;

	/** Undefined where there is no such object. */
	abstract get(key: string): Promise<string | undefined>;
}
