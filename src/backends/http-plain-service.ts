import {Agent} from 'node:http';
import {type Socket} from 'node:net';
import got, {RequestError} from 'got';
import {type SendResult} from '../actions/send-result.js';
import {isDelimitedByConnection, wasClosedByPeer, watchConnectionEnd} from '../network/connection-end.js';
import {findResponseHeadFault} from '../network/head-faults.js';
import {Execution} from '../results/execution.js';
import {getErrorMessage} from '../results/to-failure.js';
import {type TimerService} from '../time/timer-service.js';
import {limitResponse, sendJsonRequest} from './http-request.js';
import {type LoadReport, loadReportSchema} from './load-report.js';
import {type PlainCall} from './plain-call.js';
import {PlainService} from './plain-service.js';

/** Error codes that only occur before any byte of the request is sent. */
const unsentErrors = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'ENOTFOUND']);

/** Response header by which a plain service reports that it did not run a call. */
const executionHeader = 'x-execution';

/** Client of plain services over HTTP. The protocol is described in docs/ASSUMPTIONS.md. */
export class HttpPlainService extends PlainService {
	constructor(private readonly timers: TimerService) {
		super();
	}

	async call(address: string, call: PlainCall, timeout: number): Promise<SendResult> {
		try {
			// Every call uses a new connection, because a reused one could be reset after the request was sent.
			let socket: Socket | undefined;
			const response = await this.timers.runWithTimeout(timeout, async signal => limitResponse(got.post(`http://${address}/operations/${encodeURIComponent(call.operation)}`, {
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
			})).on('request', request => {
				request.once('socket', connected => {
					socket = connected;
					watchConnectionEnd(connected);
				});
			}));
			const fault = findResponseHeadFault(response);
			if (fault !== undefined) {
				return {execution: Execution.Unknown, reason: fault};
			}

			if (isDelimitedByConnection(response) && !(socket && wasClosedByPeer(socket))) {
				return {execution: Execution.Unknown, reason: 'the connection was lost before the response was complete'};
			}

			if (response.headers[executionHeader] === Execution.NotRun) {
				return {execution: Execution.NotRun, isServiceAnswer: true, reason: 'the service reported that it did not run the call'};
			}

			if (response.statusCode >= 500) {
				return {execution: Execution.Unknown, isServiceAnswer: true, reason: `the service responded with status ${response.statusCode}`};
			}

			const contentType = response.headers['content-type'] ?? 'application/octet-stream';
			return {execution: Execution.Run, answer: {status: response.statusCode, contentType, body: response.body}};
		} catch (error) {
			const isUnsent = error instanceof RequestError && unsentErrors.has(error.code);
			return {execution: isUnsent ? Execution.NotRun : Execution.Unknown, reason: getErrorMessage(error)};
		}
	}

	async readLoad(address: string, timeout: number): Promise<LoadReport> {
		const response = await sendJsonRequest(this.timers, {url: `http://${address}/load`, timeout});
		return loadReportSchema.parse(JSON.parse(response.body));
	}
}
