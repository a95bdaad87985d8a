import {type Sheet} from './sheet.js';

/** An accepted sheet with its version. */
export type Configuration = {
	/** Rises by one with each accepted sheet; 0 stands for the empty configuration before the first. */
	readonly version: number;
	readonly sheet: Sheet;
};
