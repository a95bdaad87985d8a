import {Agent} from 'node:http';
import got, {type Response} from 'got';
import {type TimerService} from '../time/timer-service.js';

/** A JSON request that is sent without retries. */
export type JsonRequest = {
	readonly url: string;
	/** Timeout in milliseconds for the response. */
	readonly timeout: number;
	/** Body sent as JSON by POST; undefined for a GET request. */
	readonly body?: unknown;
};

/** Sends a JSON request once over a new connection. Rejects after the timeout and on any connection failure, but not on an error status. */
export async function sendJsonRequest(timers: TimerService, {url, timeout, body}: JsonRequest): Promise<Response<string>> {
	return timers.runWithTimeout(timeout, async signal => got(url, {
		method: body === undefined ? 'GET' : 'POST',
		json: body,
		agent: {http: new Agent({keepAlive: false})},
		retry: {limit: 0},
		throwHttpErrors: false,
		signal,
	}));
}
