import {type Catalog} from './catalog.js';

/** Where catalogs come from. */
export abstract class CatalogSource {
	/**
	Waits for a catalog other than the last one that this source gave.

	@param wait - milliseconds to wait at most
	@returns undefined where none came
	@throws PlatformError where the source cannot be read
	*/
	abstract waitForNext(wait: number): Promise<Catalog | undefined>;

	/** Decodes a catalog that another instance passed on. Throws where it is none. */
	abstract decode(text: string): Catalog;
}
