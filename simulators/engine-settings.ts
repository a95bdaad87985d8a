import * as z from 'zod';

/** Schema of the settings of an engine simulator. */
export const engineSettingsSchema = z.object({
	id: z.string(),
	port: z.number().default(0),
	model: z.string().default('model'),
	version: z.string().default('v1'),
	firstLayer: z.number(),
	endLayer: z.number(),
	/** Number of layers of the whole model. */
	layers: z.number(),
	/** Fixed milliseconds of each batch. */
	step: z.number().default(2),
	/** Additional milliseconds for each decoded token of a batch. */
	decode: z.number().default(0.1),
	/** Additional milliseconds for each prefilled position of a batch. */
	prefill: z.number().default(0.02),
	/** Maximum number of work items in a batch. */
	batch: z.number().default(32),
	/** Maximum number of positions in the KV cache. */
	cache: z.number().default(200_000),
	/** Period in milliseconds at which the figures of load reports are refreshed. Also the delay of cache events. */
	reportLag: z.number().default(1000),
	/** Decoding capacity in tokens a second, as load reports state it. */
	tokenRate: z.number().default(1000),
	/** Whether orders with an outdated fencing number are refused. */
	checksOrders: z.boolean().default(true),
	/** Capacity of the links to other servers in tokens a second, by server id. */
	links: z.record(z.string(), z.number()).default({}),
});

/** Settings of an engine simulator. */
export type EngineSettings = z.infer<typeof engineSettingsSchema>;
