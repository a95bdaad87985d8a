import {validateHeaderName, validateHeaderValue, type IncomingMessage} from 'node:http';

/** The parts of a message that tell whether its head is valid. */
export type ReceivedHead = Pick<IncomingMessage, 'headers' | 'rawHeaders' | 'statusCode' | 'url'>;

/** Characters that a request target must not contain. */
const foreignTargetCharacter = /[^\u0021-\u00FF]/v;
const minFinalStatus = 200;
const maxStatus = 599;
const partialContent = 206;
/** Statuses of responses that have no body. */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 205]);

function findHeaderFault(rawHeaders: readonly string[]): string | undefined {
	try {
		for (let index = 0; index < rawHeaders.length; index += 2) {
			validateHeaderName(rawHeaders[index]);
			validateHeaderValue(rawHeaders[index], rawHeaders[index + 1]);
		}
	} catch {
		return 'a header has an invalid name or value';
	}

	return undefined;
}

/** Returns why the head of a request is not valid HTTP; undefined if it is valid. */
export function findRequestHeadFault({url = '', rawHeaders}: ReceivedHead): string | undefined {
	return foreignTargetCharacter.test(url) ? 'the target has an invalid character' : findHeaderFault(rawHeaders);
}

/**
Returns why the head of a response is not valid HTTP; undefined if it is valid.

The parser of the runtime accepts more than its writer does, so a head that is passed on without this check may throw there. A status that contradicts the rest of the head is not valid either.
*/
export function findResponseHeadFault({headers, rawHeaders, statusCode = 0}: ReceivedHead): string | undefined {
	if (statusCode < minFinalStatus || statusCode > maxStatus) {
		return `the response has the status ${statusCode}`;
	}

	const hasBody = headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
	if (hasBody && bodilessStatuses.has(statusCode)) {
		return `the response has a body, but the status ${statusCode}`;
	}

	const hasRange = headers['content-range'] !== undefined || (headers['content-type'] ?? '').startsWith('multipart/byteranges');
	if (statusCode === partialContent && !hasRange) {
		return 'the response is partial, but does not name its range';
	}

	return findHeaderFault(rawHeaders);
}
