import {Agent} from 'node:http';
import got, {type Response} from 'got';
import {type TimerService} from '../time/timer-service.js';

/** A request that is sent once. */
export type SingleRequest = {
	readonly url: string;
	/** Milliseconds for the answer. */
	readonly limit: number;
	/** Posted as JSON; without one it is a GET. */
	readonly body?: unknown;
};

/** Sends one JSON request over a new connection and gives up after a limit. Rejects on any failure of the connection. */
export async function requestOnce(timers: TimerService, {url, limit, body}: SingleRequest): Promise<Response<string>> {
	return timers.runWithTimeout(limit, async signal => got(url, {
		method: body === undefined ? 'GET' : 'POST',
		json: body,
		agent: {http: new Agent({keepAlive: false})},
		retry: {limit: 0},
		throwHttpErrors: false,
		signal,
	}));
}
