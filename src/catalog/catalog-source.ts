import {type Catalog} from './catalog.js';

/** A source of catalogs. */
export abstract class CatalogSource {
	/**
	Waits for a catalog other than the last one that this source returned.

	@param timeout - milliseconds to wait at most
	@returns undefined if none arrived in time
	@throws PlatformError if the source can't be read
	*/
	abstract waitForNext(timeout: number): Promise<Catalog | undefined>;

	/** Decodes a catalog that another instance sent. Throws if the text is not a valid catalog. */
	abstract decode(text: string): Catalog;
}
