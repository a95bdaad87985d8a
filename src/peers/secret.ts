import {createHash, timingSafeEqual} from 'node:crypto';

/** The SHA-256 digest of a text in hexadecimal. */
export function computeDigest(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}

/** Compares two secrets in a time that does not depend on where they differ. */
export function isSameSecret(left: string, right: string): boolean {
	return timingSafeEqual(createHash('sha256').update(left).digest(), createHash('sha256').update(right).digest());
}

const bearerPattern = /^Bearer (?<token>\S+)$/v;

/** The token of an Authorization header; undefined where there is none. */
export function parseBearerToken(header: string | undefined): string | undefined {
	return bearerPattern.exec(header ?? '')?.groups?.token;
}
