import * as z from 'zod';

/** Checks a load report. */
export const loadReportSchema = z.object({
	/** Requests that the server holds. */
	running: z.number(),
	/** Batches that wait for their turn. */
	queued: z.number(),
	/** Tokens a second that its range can decode now. */
	tokenRate: z.number(),
	isLeaving: z.boolean(),
	/** Version of the model that it has loaded; unset for a plain service. */
	version: z.string().optional(),
	/** Tokens a second that its links to next stages can carry, by server id; a link that is not listed is not the limit. */
	links: z.record(z.string(), z.number()).default({}),
});

/** A backend server's load; it lags. */
export type LoadReport = z.infer<typeof loadReportSchema>;
