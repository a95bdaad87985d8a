import * as z from 'zod';

const holderSchema = z.object({
	/** Tokens granted in advance. */
	granted: z.number().int(),
	/** Tokens used; unset until the holder has written its usage. Until then the whole grant is charged. */
	used: z.number().int().optional(),
	/** Concurrent streams granted. */
	streams: z.number().int(),
});

/** Schema of the usage row of a workspace and window. */
export const usageRecordSchema = z.object({
	/** Grants by the instance and the start of its process. */
	holders: z.record(z.string(), holderSchema),
});

/** Grants and usage of one workspace in one window, a row of the platform table. */
export type UsageRecord = z.infer<typeof usageRecordSchema>;

/** Length of a window in milliseconds. */
export const windowMs = 60_000;

/** The number of the window that contains a wall-clock time in milliseconds. */
export function getWindow(wallClock: number): number {
	return Math.floor(wallClock / windowMs);
}

/** The key of a usage row. */
export function getUsageRowKey(workspace: string, window: number): string {
	return `usage/${workspace}/${String(window).padStart(12, '0')}`;
}

/** Sums the tokens charged in a record: the usage of holders that have written it, and the whole grants of the others. */
export function sumChargedTokens(record: UsageRecord): number {
	let total = 0;
	for (const holder of Object.values(record.holders)) {
		total += holder.used ?? holder.granted;
	}

	return total;
}

/** Sums the concurrent streams granted in a record. */
export function sumGrantedStreams(record: UsageRecord): number {
	let total = 0;
	for (const holder of Object.values(record.holders)) {
		total += holder.streams;
	}

	return total;
}
