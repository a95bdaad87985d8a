import {type ServerLoad} from '../pipelines/server-load.js';
import {getIdDigest} from './id-digest.js';

/** Returns the tokens that this instance's requests hold, by digest of the backend server's incarnation. */
export function measureTokens(serverLoad: ServerLoad): ReadonlyMap<string, number> {
	return new Map([...serverLoad.getTokensByIncarnation()].map(([incarnationId, count]) => [getIdDigest(incarnationId), count]));
}
