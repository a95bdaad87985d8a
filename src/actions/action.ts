import {createHash} from 'node:crypto';

/** A call of an operation that must not be repeated. */
export type Action = {
	readonly workspace: string;
	/** The caller's Idempotency-Key. */
	readonly key: string;
	/** Digest of service, operation and body. */
	readonly fingerprint: string;
	/** Identifies this run of the request at this instance. */
	readonly attempt: string;
	/** Monotonic time in milliseconds after which it must not be sent any more. */
	readonly deadline: number;
};

/** The key of the table row of a one-time action. */
export function getActionRowKey(workspace: string, key: string): string {
	return `action/${createHash('sha256').update(JSON.stringify([workspace, key])).digest('hex')}`;
}

/** The digest by which two requests with the same key are compared. */
export function computeFingerprint(service: string, operation: string, body: string): string {
	return createHash('sha256').update(JSON.stringify([service, operation, body])).digest('hex');
}
