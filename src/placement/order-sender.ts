import {type Placement} from './initial-placement.js';

/** Outcome of an order. */
export enum OrderOutcome {
	/** The server started to carry it out, or is already in the ordered state. */
	Accepted = 'accepted',
	/** The server is not in the expected state. */
	Refused = 'refused',
	/** The server did not answer; it may still carry the order out later. */
	Unknown = 'unknown',
}

/** Sends orders to backend servers. */
export abstract class OrderSender {
	/**
	Orders a server to load a range of layers.

	@param expectedOrders - number of orders that the server has accepted so far; it refuses the order if its own count differs
	*/
	abstract sendOrder(placement: Placement, expectedOrders: number): Promise<OrderOutcome>;
}
