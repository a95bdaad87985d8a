import {type Sheet} from './sheet.js';

/** An accepted sheet with its version number. */
export type Configuration = {
	/** Increases by one with each accepted sheet; 0 is the empty configuration before the first. */
	readonly version: number;
	readonly sheet: Sheet;
};
