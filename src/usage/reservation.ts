import {type Allowance} from './allowance.js';

/** Tokens and one stream reserved for a request. */
export type Reservation = {
	readonly workspace: string;
	readonly allowance: Allowance;
	readonly tokens: number;
};
