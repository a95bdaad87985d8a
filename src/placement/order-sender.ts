import {type Placement} from './initial-placement.js';

/** What became of an order. */
export enum OrderOutcome {
	/** It began, or its result already holds. */
	Accepted = 'accepted',
	/** The server's state is another than was thought. */
	Refused = 'refused',
	/** No answer came; it may be carried out later. */
	Unknown = 'unknown',
}

/** Gives orders to backend servers. */
export abstract class OrderSender {
	/**
	Orders a server to hold a range.

	@param expectedOrders - orders that the server has accepted so far; it refuses where it has accepted others
	*/
	abstract sendOrder(placement: Placement, expectedOrders: number): Promise<OrderOutcome>;
}
