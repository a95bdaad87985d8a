import * as z from 'zod';

/** Schema of a stage of a route. */
export const stageSchema = z.object({
	/** Id of the backend server. */
	server: z.string(),
	address: z.string(),
	firstLayer: z.number().int(),
	/** End of the layer range, exclusive. */
	endLayer: z.number().int(),
	version: z.string(),
});

/** One backend server of a route, with the layer range that it runs. */
export type Stage = z.infer<typeof stageSchema>;

/** The stages of a pipeline in order, from layer 0 to the last layer. */
export type Route = readonly Stage[];
