import {createHash} from 'node:crypto';
import {getIncarnationId, type BackendServer} from '../pipelines/backend-server.js';

/** Characters of a digest; 24 bits, so that two ids of an availability zone hardly ever share one. */
export const digestLength = 4;
const maxCachedDigests = 10_000;
const digests = new Map<string, string>();

/** Returns a short text that stands for an id in messages between instances. */
export function getIdDigest(id: string): string {
	const known = digests.get(id);
	if (known !== undefined) {
		return known;
	}

	if (digests.size >= maxCachedDigests) {
		digests.clear();
	}

	const digest = createHash('sha256').update(id).digest('base64url').slice(0, digestLength);
	digests.set(id, digest);
	return digest;
}

/** Returns the digest of a backend server's incarnation. */
export function getServerDigest(server: BackendServer): string {
	return getIdDigest(getIncarnationId(server));
}
