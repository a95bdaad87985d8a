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

/** Checks what an instance knows, as it gives it to another one. */
export const instanceSnapshotSchema = z.object({
	/** Text of its catalog; undefined where it has none newer than the asker's. */
	catalog: z.string().optional(),
	servers: z.array(backendServerSchema),
	/** Milliseconds since it read the list of servers; undefined where it never did. */
	serversAge: z.number().nonnegative().optional(),
	members: z.array(z.object({id: z.string(), availabilityZone: z.string(), peers: z.string()})),
});

/** What an instance knows, for one that cannot read it elsewhere. */
export type InstanceSnapshot = z.infer<typeof instanceSnapshotSchema>;
