import * as z from 'zod';

/** Schema of a gossip message. */
export const gossipMessageSchema = z.object({
	/** Id of the sending instance. */
	from: z.string(),
	/** Tokens that the sender's running requests hold, by incarnation id of the backend server. */
	loads: z.record(z.string(), z.number().nonnegative()),
	/** Backend servers that the sender found not to work. */
	suspicions: z.array(z.object({
		/** Incarnation id of the suspected server. */
		life: z.string(),
		/** Whether another backend server reports that it waits for this one; otherwise the sender itself could not reach it. */
		isBlocking: z.boolean(),
		reason: z.string(),
	})),
	/** Layer ranges that backend servers loaded by order, with the incarnation id of the server. */
	ranges: z.array(z.object({life: z.string(), from: z.number().int().nonnegative(), to: z.number().int().positive()})),
	/** Fencing number under which the sender holds the placement lease; 0 if it does not hold it. */
	placing: z.number().int().nonnegative(),
	/** Milliseconds since the sender read the server list; -1 if it never did. */
	listAge: z.number(),
	/** Version of the sender's catalog. */
	version: z.number().int(),
});

/** Message in which an instance shares its load, its suspicions, ordered ranges and the age of its data. */
export type GossipMessage = z.infer<typeof gossipMessageSchema>;
