import * as z from 'zod';

/** Schema of the faults that a control call sets at an engine simulator. Fields left out stay as they are. */
export const engineFaultsSchema = z.object({
	/** Makes all open connections silent. */
	muteConnections: z.boolean().optional(),
	/** Closes all open connections. */
	resetConnections: z.boolean().optional(),
	/** Milliseconds added to each message to a stage, by server id. */
	linkDelays: z.record(z.string(), z.number()).optional(),
	/** Factor by which the duration of each batch is multiplied. */
	slowness: z.number().optional(),
	/** Whether load reports say that the engine is leaving. */
	isLeaving: z.boolean().optional(),
	/** Whether new attempts are refused. Those that run go on. */
	refusesAttempts: z.boolean().optional(),
	/** Whether orders with an outdated fencing number are accepted. */
	ignoreFencing: z.boolean().optional(),
});

/** Faults that a control call sets at an engine simulator. */
export type EngineFaults = z.infer<typeof engineFaultsSchema>;
