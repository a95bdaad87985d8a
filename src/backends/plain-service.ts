import {type SendResult} from '../actions/send-result.js';
import {type LoadReport} from './load-report.js';
import {type PlainCall} from './plain-call.js';

/** Interface to plain services. Extend this class to support another protocol. */
export abstract class PlainService {
	/**
	Sends a call once over a new connection, without retries.

	@param address - host and port
	@param timeout - milliseconds for the answer
	*/
	abstract call(address: string, call: PlainCall, timeout: number): Promise<SendResult>;

	/** Reads the load of a server. Rejects if it does not respond within the timeout in milliseconds. */
	abstract readLoad(address: string, timeout: number): Promise<LoadReport>;
}
