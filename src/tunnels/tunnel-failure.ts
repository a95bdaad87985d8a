import {type TunnelFailureReason} from './tunnel-failure-reason.js';

/** No tunnel through another instance could be opened. */
export class TunnelFailure extends Error {
	constructor(message: string, readonly reason: TunnelFailureReason) {
		super(message);
		this.name = 'TunnelFailure';
	}
}
