import {type IncomingHttpHeaders} from 'node:http';
import * as z from 'zod';
import {Priority} from '../configuration/priority.js';
import {Failure} from '../results/failure.js';
import {ResultCode} from '../results/result-code.js';
import {deductReplyMargin} from '../time/reply-margin.js';

/** Header with the time in milliseconds that the caller allows for the request. */
const deadlineHeader = 'x-deadline-ms';
const priorityHeader = 'x-priority';
const idempotencyKeyHeader = 'idempotency-key';
const maxKeyLength = 255;
const keyPattern = /^[\u0021-\u007E]+$/v;
/** Rank of each priority; a higher rank is less urgent. */
const priorityRank: Readonly<Record<Priority, number>> = {[Priority.High]: 0, [Priority.Normal]: 1, [Priority.Low]: 2};

function getHeader(headers: IncomingHttpHeaders, name: string): string | undefined {
	const value = headers[name];
	return Array.isArray(value) ? value.join(',') : value;
}

/**
Reads the time that a request may take until its final response is sent, from its header.

@param limitMs - the longest time allowed; returned if the header is missing or allows more
@returns milliseconds, somewhat fewer than the caller allows
@throws Failure DeadlineInvalid, or DeadlinePassed if the value is zero or negative
*/
export function readDeadline(headers: IncomingHttpHeaders, limitMs: number): number {
	const text = getHeader(headers, deadlineHeader);
	if (text === undefined) {
		return limitMs;
	}

	if (!/^-?\d{1,12}$/v.test(text)) {
		throw new Failure(ResultCode.DeadlineInvalid, `${deadlineHeader} is "${text}"; it must be a whole number of milliseconds`);
	}

	if (Number(text) <= 0) {
		throw new Failure(ResultCode.DeadlinePassed, `${deadlineHeader} is ${text}; no time is left`);
	}

	return Math.min(limitMs, deductReplyMargin(Number(text)));
}

/**
Reads the priority of a request from its header. A caller can lower the priority of its workspace, but not raise it.

@param allowed - the workspace's priority
@throws Failure PriorityInvalid
*/
export function readPriority(headers: IncomingHttpHeaders, allowed: Priority): Priority {
	const text = getHeader(headers, priorityHeader);
	if (text === undefined) {
		return allowed;
	}

	const result = z.enum(Priority).safeParse(text);
	if (!result.success) {
		throw new Failure(ResultCode.PriorityInvalid, `${priorityHeader} is "${text}"; allowed are ${Object.values(Priority).join(', ')}`);
	}

	const priority = result.data;
	return priorityRank[priority] > priorityRank[allowed] ? priority : allowed;
}

/**
Reads the Idempotency-Key header.

@returns the key; empty if none was sent and none is required
@throws Failure IdempotencyKeyMissing or IdempotencyKeyInvalid
*/
export function readIdempotencyKey(headers: IncomingHttpHeaders, isRequired: boolean): string {
	const key = getHeader(headers, idempotencyKeyHeader);
	if (key === undefined) {
		if (isRequired) {
			throw new Failure(ResultCode.IdempotencyKeyMissing, 'the operation is not idempotent; send an Idempotency-Key header');
		}

		return '';
	}

	if (key.length > maxKeyLength || !keyPattern.test(key)) {
		throw new Failure(ResultCode.IdempotencyKeyInvalid, `the Idempotency-Key must have 1 to ${maxKeyLength} visible ASCII characters`);
	}

	return key;
}
