import * as z from 'zod';

/** What happened to a prefix in an engine's cache. */
export enum CacheChange {
	Stored = 'stored',
	Evicted = 'evicted',
}

/** Checks cache events. */
export const cacheEventsSchema = z.object({
	events: z.array(z.object({
		/** Rises by one with each event of the engine; a number that is missing was lost. */
		sequence: z.number().int(),
		change: z.enum(CacheChange),
		/** Digest of the prompt's prefix. */
		prefix: z.string(),
	})),
});

/** An engine's news of its prefix cache. It comes late and with gaps. */
export type CacheEvent = z.infer<typeof cacheEventsSchema>['events'][number];
