import * as z from 'zod';

const holderSchema = z.object({
	/** Tokens granted to the holder in advance. */
	granted: z.number().int(),
	/** Tokens that the holder used; unset until it has settled, and then the whole grant counts. */
	used: z.number().int().optional(),
	/** Concurrent streams that the holder may run. */
	streams: z.number().int(),
});

/** Checks the usage row of a workspace and window. */
export const usageRecordSchema = z.object({
	/** By instance and start of its process. */
	holders: z.record(z.string(), holderSchema),
});

/** Grants of one workspace in one window, in the platform's table. */
export type UsageRecord = z.infer<typeof usageRecordSchema>;

/** Length of a window in milliseconds. */
export const windowMs = 60_000;

/** Number of the window at a wall-clock time. */
export function getWindow(wallClock: number): number {
	return Math.floor(wallClock / windowMs);
}

/** The key of a usage row. */
export function getUsageRowKey(workspace: string, window: number): string {
	return `usage/${workspace}/${String(window).padStart(12, '0')}`;
}

/** Tokens charged by a row: what settled holders used, and the whole grants of the others. */
export function sumChargedTokens(record: UsageRecord): number {
	let total = 0;
	for (const holder of Object.values(record.holders)) {
		total += holder.used ?? holder.granted;
	}

	return total;
}

/** Concurrent streams granted by a row. */
export function sumGrantedStreams(record: UsageRecord): number {
	let total = 0;
	for (const holder of Object.values(record.holders)) {
		total += holder.streams;
	}

	return total;
}
