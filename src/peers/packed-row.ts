import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import * as z from 'zod';
import {type TableRow} from '../replication/table-update.js';
import {applyTextDelta, createTextDelta, textDeltaSchema} from '../replication/text-delta.js';

/** Schema of a packed row. */
export const packedRowSchema = z.object({
	key: z.string(),
	/** Number of the transaction that last wrote the row. */
	transaction: z.number(),
	/** Number of the transaction that wrote the version that the row is made from; absent if it is made from none. */
	base: z.number().optional(),
	/** Digest of the row's text. */
	digest: z.string(),
	/** The compressed delta, in base64. */
	data: z.string(),
});

/** A large row, compressed, and without what an earlier version of it already has. */
export type PackedRow = z.infer<typeof packedRowSchema>;

/** Longest text that is unpacked. */
const maxTextBytes = 33_554_432;
/** Fast, since the texts are repetitive and small instances pack them. */
const compressionLevel = 1;

type CacheEntry = {
	readonly base: number | undefined;
	readonly packed: PackedRow;
};

/** Several instances ask for the same row. */
const cache = new WeakMap<TableRow, CacheEntry[]>();

function computeDigest(text: string): string {
	return createHash('sha256').update(text).digest('base64url');
}

function createPackedRow({key, transaction, text = ''}: TableRow, base: TableRow | undefined): PackedRow {
	const delta = JSON.stringify(createTextDelta(base?.text ?? '', text));
	return {
		key, transaction, ...(base && {base: base.transaction}), digest: computeDigest(text), data: deflateRawSync(delta, {level: compressionLevel}).toString('base64'),
	};
}

/**
Packs a row that was not deleted.

@param base - an earlier version that the recipient has; undefined if it has none
*/
export function packRow(row: TableRow, base: TableRow | undefined): PackedRow {
	const entries = cache.get(row) ?? [];
	const known = entries.find(entry => entry.base === base?.transaction);
	if (known) {
		return known.packed;
	}

	const packed = createPackedRow(row, base);
	cache.set(row, [...entries, {base: base?.transaction, packed}]);
	return packed;
}

/**
Unpacks a row. Throws if it is malformed, or was made from another version than the base.

@param base - the version that this instance has; undefined if it has none
*/
export function unpackRow({key, transaction, base: baseTransaction, digest, data}: PackedRow, base: TableRow | undefined): TableRow {
	if (baseTransaction !== undefined && baseTransaction !== base?.transaction) {
		throw new Error(`row ${key} was packed for version ${baseTransaction}, and this instance has ${base?.transaction ?? 'none'}`);
	}

	const json = inflateRawSync(Buffer.from(data, 'base64'), {maxOutputLength: maxTextBytes}).toString('utf8');
	const text = applyTextDelta(baseTransaction === undefined ? '' : base?.text ?? '', textDeltaSchema.parse(JSON.parse(json)));
	if (computeDigest(text) !== digest) {
		throw new Error(`row ${key} of transaction ${transaction} was damaged on its way`);
	}

	return {key, transaction, text};
}
