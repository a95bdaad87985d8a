import * as z from 'zod';

/** Changes of a prefix in the cache of a model engine. */
export enum CacheChange {
	Stored = 'stored',
	Evicted = 'evicted',
}

/** Schema of the response with cache events. */
export const cacheEventsSchema = z.object({
	events: z.array(z.object({
		/** Sequence number, incremented by one with each event of the engine. A missing number means a lost event. */
		sequence: z.number().int(),
		change: z.enum(CacheChange),
		/** Digest of the prompt prefix. */
		prefix: z.string(),
	})),
});

/** A change in the prefix cache of a model engine. Events arrive late and with gaps. */
export type CacheEvent = z.infer<typeof cacheEventsSchema>['events'][number];
