import {Agent} from 'node:http';
import got, {type CancelableRequest, type Response} from 'got';
import {findResponseHeadFault} from '../network/head-faults.js';
import {limitInterimResponses} from '../network/limit-interim-responses.js';
import {PieceLimit} from '../network/piece-limit.js';
import {type TimerService} from '../time/timer-service.js';

/** A JSON request that is sent without retries. */
export type JsonRequest = {
	readonly url: string;
	/** Timeout in milliseconds for the response. */
	readonly timeout: number;
	/** Body sent as JSON by POST; undefined for a GET request. */
	readonly body?: unknown;
};

/** Largest body of a response. */
const maxBodyBytes = 1_048_576;

/** Cancels a request whose response is larger, or takes more processing, than that of any sound server. */
export function limitResponse<T extends CancelableRequest<Response<string>>>(call: T): T {
	const pieceLimit = new PieceLimit();
	let received = 0;
	void call.on('downloadProgress', ({transferred}) => {
		pieceLimit.add(transferred - received);
		received = transferred;
		if (transferred > maxBodyBytes || pieceLimit.isExceeded) {
			call.cancel('the response is too large or arrives in too many small pieces');
		}
	});
	void call.on('request', request => {
		limitInterimResponses(request, () => {
			call.cancel('the server sends interim responses without end');
		});
	});
	return call;
}

/** Sends a JSON request once over a new connection. Rejects after the timeout, on any connection failure and if the head of the response is not valid HTTP, but not on an error status. */
export async function sendJsonRequest(timers: TimerService, {url, timeout, body}: JsonRequest): Promise<Response<string>> {
	const response = await timers.runWithTimeout(timeout, async signal => limitResponse(got(url, {
		method: body === undefined ? 'GET' : 'POST',
		json: body,
		agent: {http: new Agent({keepAlive: false})},
		retry: {limit: 0},
		throwHttpErrors: false,
		signal,
	})));
	const fault = findResponseHeadFault(response);
	if (fault !== undefined) {
		throw new Error(fault);
	}

	return response;
}
