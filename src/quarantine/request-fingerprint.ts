import {createHash} from 'node:crypto';

/** What makes two requests the same, whatever their ids. */
export type RequestIdentity = {
	readonly host: string;
	readonly method: string;
	/** Path and query. */
	readonly target: string;
	/** Undefined if the request needs no API key. */
	readonly workspace?: string;
	readonly body: Uint8Array;
};

/** Begins each fingerprint, so that none is equal to the id of a prompt part. */
const prefix = 'request:';
const digestCharacters = 24;

/** Returns a text that is equal for equal requests of one caller, at all instances. */
export function computeRequestFingerprint({host, method, target, workspace, body}: RequestIdentity): string {
	const hash = createHash('sha256').update(JSON.stringify([host.toLowerCase(), method, target, workspace ?? null])).update(body);
	return prefix + hash.digest('hex').slice(0, digestCharacters);
}

/** Whether a suspect of a crash is a single request rather than a prompt part that several share. */
export function isRequestFingerprint(suspect: string): boolean {
	return suspect.startsWith(prefix);
}
