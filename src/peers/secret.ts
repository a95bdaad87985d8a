import {createHash, timingSafeEqual} from 'node:crypto';

/** Returns the SHA-256 digest of a text in hexadecimal. */
export function computeDigest(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}

/** Compares two secrets in constant time, so that the duration does not reveal where they differ. */
export function isSameSecret(left: string, right: string): boolean {
	return timingSafeEqual(createHash('sha256').update(left).digest(), createHash('sha256').update(right).digest());
}

const bearerPattern = /^Bearer (?<token>\S+)$/v;

/** Returns the bearer token of an Authorization header; undefined if there is none. */
export function parseBearerToken(header: string | undefined): string | undefined {
	return bearerPattern.exec(header ?? '')?.groups?.token;
}
