import * as z from 'zod';

/** Checks the settings of a stand-in engine. */
export const engineSettingsSchema = z.object({
	id: z.string(),
	port: z.number().default(0),
	model: z.string().default('model'),
	version: z.string().default('v1'),
	firstLayer: z.number(),
	endLayer: z.number(),
	layers: z.number(),
	/** Milliseconds of one batch without its tokens. */
	step: z.number().default(2),
	/** Milliseconds for each decoded token of a batch. */
	decode: z.number().default(0.1),
	/** Milliseconds for each prefilled position. */
	prefill: z.number().default(0.02),
	/** Most pieces of work in a batch. */
	batch: z.number().default(32),
	/** Positions that the KV cache holds. */
	cache: z.number().default(200_000),
	/** Milliseconds by which load reports lag. */
	reportLag: z.number().default(1000),
	/** Tokens a second that it can decode. */
	tokenRate: z.number().default(1000),
	/** Whether it refuses orders with an old fencing number. */
	checksOrders: z.boolean().default(true),
	/** Tokens a second that links to next stages carry, by their id. */
	links: z.record(z.string(), z.number()).default({}),
});

/** Settings of a stand-in engine. */
export type EngineSettings = z.infer<typeof engineSettingsSchema>;
