import {createHash} from 'node:crypto';

/** A call of an operation that must run at most once. */
export type Action = {
	readonly workspace: string;
	/** Value of the caller's Idempotency-Key header. */
	readonly key: string;
	/** Digest of service, operation and body. */
	readonly fingerprint: string;
	/** Identifies this run of the request at this instance. */
	readonly attempt: string;
	/** Monotonic time in milliseconds after which the action must no longer be sent. */
	readonly deadline: number;
};

/** Computes the key of the table row of a one-time action. */
export function getActionRowKey(workspace: string, key: string): string {
	return `action/${createHash('sha256').update(JSON.stringify([workspace, key])).digest('hex')}`;
}

/** Computes the digest that is used to compare two requests with the same key. */
export function computeFingerprint(service: string, operation: string, body: string): string {
	return createHash('sha256').update(JSON.stringify([service, operation, body])).digest('hex');
}
