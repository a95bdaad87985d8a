import * as z from 'zod';

/** Checks a stage of a route. */
export const stageSchema = z.object({
	/** Id of the backend server. */
	server: z.string(),
	address: z.string(),
	firstLayer: z.number().int(),
	/** Layer after the last one. */
	endLayer: z.number().int(),
	version: z.string(),
});

/** One backend server of a route with the layer range that it runs. */
export type Stage = z.infer<typeof stageSchema>;

/** The ordered stages of a pipeline, from layer 0 to the last. */
export type Route = readonly Stage[];
