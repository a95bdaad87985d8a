import * as z from 'zod';

/** Checks the faults that a stand-in engine is ordered to have. */
export const engineFaultsSchema = z.object({
	muteConnections: z.boolean().optional(),
	resetConnections: z.boolean().optional(),
	/** Milliseconds added on links, by server id. */
	linkDelays: z.record(z.string(), z.number()).optional(),
	/** Factor on the time of each batch. */
	slowness: z.number().optional(),
	isLeaving: z.boolean().optional(),
	/** Whether orders with an old fencing number are taken. */
	ignoreFencing: z.boolean().optional(),
});
