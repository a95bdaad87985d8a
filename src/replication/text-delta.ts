import * as z from 'zod';

/** Schema of a delta. */
export const textDeltaSchema = z.array(z.union([
	/** New text. */
	z.string(),
	/** Start and length of a part of the base. */
	z.tuple([z.number().int().nonnegative(), z.number().int().positive()]),
]));

/** How to make a text from another one, its base: parts of the base and new text, in order. */
export type TextDelta = z.infer<typeof textDeltaSchema>;

/** The end of a JSON object, since a change mostly replaces whole objects. */
const piecePattern = /[^\}]*\}|[^\}]+$/gv;

function splitIntoPieces(text: string): readonly string[] {
	return text.match(piecePattern) ?? [];
}

/** Returns where each piece of a text first stands. */
function indexPieces(text: string): ReadonlyMap<string, number> {
	const starts = new Map<string, number>();
	let start = 0;
	for (const piece of splitIntoPieces(text)) {
		if (!starts.has(piece)) {
			starts.set(piece, start);
		}

		start += piece.length;
	}

	return starts;
}

/** Creates a delta with parts of the base for the pieces that it contains. */
export function createTextDelta(base: string, text: string): TextDelta {
	const starts = indexPieces(base);
	const delta: TextDelta = [];
	for (const piece of splitIntoPieces(text)) {
		const last = delta.at(-1);
		const start = starts.get(piece);
		if (Array.isArray(last) && base.startsWith(piece, last[0] + last[1])) {
			last[1] += piece.length;
		} else if (start !== undefined) {
			delta.push([start, piece.length]);
		} else if (typeof last === 'string') {
			delta[delta.length - 1] = last + piece;
		} else {
			delta.push(piece);
		}
	}

	return delta;
}

/** Returns the text that a delta makes from its base. */
export function applyTextDelta(base: string, delta: TextDelta): string {
	return delta.map(part => typeof part === 'string' ? part : base.slice(part[0], part[0] + part[1])).join('');
}
