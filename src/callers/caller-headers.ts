import {type IncomingHttpHeaders} from 'node:http';
import * as z from 'zod';
import {Priority} from '../configuration/priority.js';
import {Failure} from '../results/failure.js';
import {ResultCode} from '../results/result-code.js';

/** Milliseconds that the caller gives the request. */
const deadlineHeader = 'x-deadline-ms';
const priorityHeader = 'x-priority';
const keyHeader = 'idempotency-key';
const longestKey = 255;
const keyPattern = /^[\u0021-\u007E]+$/v;
const priorityRank: Readonly<Record<Priority, number>> = {[Priority.High]: 0, [Priority.Normal]: 1, [Priority.Low]: 2};

function single(headers: IncomingHttpHeaders, name: string): string | undefined {
	const value = headers[name];
	return Array.isArray(value) ? value.join(',') : value;
}

/**
The time that a request may take, from its header, at most the limit.

@returns milliseconds
@throws Failure DeadlineInvalid or, where no time is left, DeadlinePassed
*/
export function readDeadline(headers: IncomingHttpHeaders, limit: number): number {
	const text = single(headers, deadlineHeader);
	if (text === undefined) {
		return limit;
	}

	if (!/^-?\d{1,12}$/v.test(text)) {
		throw new Failure(ResultCode.DeadlineInvalid, `${deadlineHeader} is "${text}"; it must be a whole number of milliseconds`);
	}

	if (Number(text) <= 0) {
		throw new Failure(ResultCode.DeadlinePassed, `${deadlineHeader} is ${text}; no time is left`);
	}

	return Math.min(limit, Number(text));
}

/** The priority of a request: the workspace's, or a lower one that the caller asks for. Throws Failure PriorityInvalid. */
export function readPriority(headers: IncomingHttpHeaders, allowed: Priority): Priority {
	const text = single(headers, priorityHeader);
	if (text === undefined) {
		return allowed;
	}

	const reading = z.enum(Priority).safeParse(text);
	if (!reading.success) {
		throw new Failure(ResultCode.PriorityInvalid, `${priorityHeader} is "${text}"; allowed are ${Object.values(Priority).join(', ')}`);
	}

	const priority = reading.data;
	return priorityRank[priority] > priorityRank[allowed] ? priority : allowed;
}

/** The Idempotency-Key; empty where none was sent and none is required. Throws Failure. */
export function readIdempotencyKey(headers: IncomingHttpHeaders, isRequired: boolean): string {
	const key = single(headers, keyHeader);
	if (key === undefined) {
		if (isRequired) {
			throw new Failure(ResultCode.IdempotencyKeyMissing, 'the operation is not idempotent; send an Idempotency-Key header');
		}

		return '';
	}

	if (key.length > longestKey || !keyPattern.test(key)) {
		throw new Failure(ResultCode.IdempotencyKeyInvalid, `the Idempotency-Key must have 1 to ${longestKey} visible ASCII characters`);
	}

	return key;
}
