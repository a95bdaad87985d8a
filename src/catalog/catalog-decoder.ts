import {type Catalog} from './catalog.js';

/** Decodes the operator's configuration. */
export abstract class CatalogDecoder {
	/** Throws if the text is not a valid configuration. */
	abstract decode(text: string): Catalog;
}
