import {type SendResult} from '../actions/send-result.js';
import {type LoadReport} from './load-report.js';
import {type PlainCall} from './plain-call.js';

/** All that the system asks of plain services. Another protocol is fitted by extending this class. */
export abstract class PlainService {
	/**
	Sends a call once, over a new connection, and never repeats it.

	@param address - host and port
	@param limit - milliseconds for the answer
	*/
	abstract call(address: string, call: PlainCall, limit: number): Promise<SendResult>;

	/** A server's load. Rejects where it gives no answer. */
	abstract readLoad(address: string, limit: number): Promise<LoadReport>;
}
