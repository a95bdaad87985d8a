/** The platform's object store. Each method throws PlatformError. */
export abstract class ObjectStore {
	/** Stores an object, replacing any previous one. */
	abstract put(key: string, text: string): Promise<void>;

	/** Reads an object; undefined if it does not exist. */
	abstract get(key: string): Promise<string | undefined>;
}
