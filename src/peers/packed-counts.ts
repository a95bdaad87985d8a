import {digestLength} from './id-digest.js';

const alphabet = 'ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_';
const valueLength = 2;
const largestValue = (alphabet.length ** valueLength) - 1;
const entryLength = digestLength + valueLength;

/**
Packs counts into a text, to save bytes in messages between instances: for each the digest and the count in two characters.

@param unit - counts are rounded to multiples of it; a count beyond 4095 units is cut off there
*/
export function packCounts(counts: Iterable<readonly [digest: string, count: number]>, unit: number): string {
	let text = '';
	for (const [digest, count] of counts) {
		const value = Math.min(largestValue, Math.round(count / unit));
		text += digest + alphabet[Math.floor(value / alphabet.length)] + alphabet[value % alphabet.length];
	}

	return text;
}

/** Returns the counts of a packed text by digest. Characters that are not part of a whole entry are ignored. */
export function unpackCounts(text: string, unit: number): ReadonlyMap<string, number> {
	const counts = new Map<string, number>();
	for (let start = 0; start + entryLength <= text.length; start += entryLength) {
		const digestEnd = start + digestLength;
		const value = (alphabet.indexOf(text[digestEnd]) * alphabet.length) + alphabet.indexOf(text[digestEnd + 1]);
		counts.set(text.slice(start, digestEnd), Math.max(0, value) * unit);
	}

	return counts;
}
