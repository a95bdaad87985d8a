import * as z from 'zod';

/** Schema of a load report. */
export const loadReportSchema = z.object({
	/** Number of requests on the server. */
	running: z.number(),
	/** Number of batches in its queue. */
	queued: z.number(),
	/** Tokens per second that the server can currently decode for its layer range. */
	tokenRate: z.number(),
	isLeaving: z.boolean(),
	/** Loaded model version; unset for a plain service. */
	version: z.string().optional(),
	/** Tokens per second that its links to servers of the next stage can carry, by server id. A link that is not listed is not a bottleneck. */
	links: z.record(z.string(), z.number()).default({}),
});

/** Load reported by a backend server. It lags behind the actual load. */
export type LoadReport = z.infer<typeof loadReportSchema>;
