import * as z from 'zod';
import {type BackendServer} from '../pipelines/backend-server.js';

const backendServerSchema = z.object({
	id: z.string(),
	address: z.string(),
	service: z.string(),
	availabilityZone: z.string(),
	isLeaving: z.boolean(),
	startedAt: z.number(),
	slots: z.number(),
	card: z.string(),
	range: z.object({from: z.number(), to: z.number()}).optional(),
}) satisfies z.ZodType<BackendServer>;

/** Schema of a snapshot. */
export const instanceSnapshotSchema = z.object({
	/** Text of the catalog; undefined if the instance has none newer than the requested version. */
	catalog: z.string().optional(),
	servers: z.array(backendServerSchema),
	/** Milliseconds since the instance read the server list; undefined if it never did. */
	serversAge: z.number().nonnegative().optional(),
	members: z.array(z.object({id: z.string(), availabilityZone: z.string(), peers: z.string()})),
});

/** State that an instance provides to another one that cannot read it from the store. */
export type InstanceSnapshot = z.infer<typeof instanceSnapshotSchema>;
