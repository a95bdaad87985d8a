import * as z from 'zod';

/** Checks what an instance tells another one. */
export const gossipMessageSchema = z.object({
	/** Id of the instance that tells. */
	from: z.string(),
	/** Tokens that its running requests hold, by life of the backend server. */
	loads: z.record(z.string(), z.number().nonnegative()),
	/** Lives of backend servers that it found not to work, with the reason. */
	suspicions: z.array(z.object({
		life: z.string(),
		/** Whether another backend server says that it waits for this one; otherwise this instance could not reach it itself. */
		isBlocking: z.boolean(),
		reason: z.string(),
	})),
	/** Ranges that backend servers took on by order, by life. */
	ranges: z.array(z.object({life: z.string(), from: z.number().int().nonnegative(), to: z.number().int().positive()})),
	/** Fencing number under which it holds the lease for placement; 0 where it does not hold it. */
	placing: z.number().int().nonnegative(),
	/** Milliseconds since it read the list of servers; -1 where it never did. */
	listAge: z.number(),
	/** Version of its catalog. */
	version: z.number().int(),
});

/** What an instance tells another one: its part of the load, and what it found broken. */
export type GossipMessage = z.infer<typeof gossipMessageSchema>;
