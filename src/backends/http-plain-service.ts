import {Agent} from 'node:http';
import got, {RequestError} from 'got';
import {type SendResult} from '../actions/send-result.js';
import {Execution} from '../results/execution.js';
import {getErrorMessage} from '../results/to-failure.js';
import {type TimerService} from '../time/timer-service.js';
import {requestOnce} from './http-request.js';
import {type LoadReport, loadReportSchema} from './load-report.js';
import {type PlainCall} from './plain-call.js';
import {PlainService} from './plain-service.js';

/** Errors that arise before a byte of the request can have left. */
const unsentErrors = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'ENOTFOUND']);

/** Header by which a plain service says that it did not run a call. */
const executionHeader = 'x-execution';

/** Plain services over HTTP, as docs/ASSUMPTIONS.md describes them. */
export class HttpPlainService extends PlainService {
	constructor(private readonly timers: TimerService) {
		super();
	}

	async call(address: string, call: PlainCall, limit: number): Promise<SendResult> {
		try {
			// A connection of its own: a reused one could be reset after the bytes went.
			const response = await this.timers.runWithTimeout(limit, async signal => got.post(`http://${address}/operations/${encodeURIComponent(call.operation)}`, {
				body: call.body,
				headers: {
					...call.headers,
					'content-type': 'application/json',
					'x-request-id': call.request,
					'idempotency-key': call.key,
				},
				agent: {http: new Agent({keepAlive: false})},
				retry: {limit: 0},
				throwHttpErrors: false,
				followRedirect: false,
				signal,
			}));
			if (response.headers[executionHeader] === Execution.NotRun) {
				return {execution: Execution.NotRun, isServiceAnswer: true, reason: 'the service says that it did not run it'};
			}

			if (response.statusCode >= 500) {
				return {execution: Execution.Unknown, isServiceAnswer: true, reason: `the service answered ${response.statusCode}`};
			}

			const contentType = response.headers['content-type'] ?? 'application/octet-stream';
			return {execution: Execution.Run, answer: {status: response.statusCode, contentType, body: response.body}};
		} catch (error) {
			const isUnsent = error instanceof RequestError && unsentErrors.has(error.code);
			return {execution: isUnsent ? Execution.NotRun : Execution.Unknown, reason: getErrorMessage(error)};
		}
	}

	async readLoad(address: string, limit: number): Promise<LoadReport> {
		const response = await requestOnce(this.timers, {url: `http://${address}/load`, limit});
		return loadReportSchema.parse(JSON.parse(response.body));
	}
}
