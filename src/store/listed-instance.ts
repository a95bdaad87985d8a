import * as z from 'zod';
import {InstanceRole} from './instance-role.js';
import {InstanceState} from './instance-state.js';

/** Checks an entry of the instance list. */
export const listedInstanceSchema = z.object({
	id: z.string(),
	role: z.enum(InstanceRole),
	state: z.enum(InstanceState),
	/** Host and port of its interface, such as `10.0.0.7:8000`; for an entry instance, its peer interface. */
	address: z.string(),
	zone: z.string(),
	/** Name of the service that it belongs to; empty for an entry instance. */
	service: z.string(),
	/** Version of the model that an engine has loaded. */
	version: z.string().default(''),
	/** First layer that an engine holds. */
	firstLayer: z.number().int().default(0),
	/** Layer after the last one that an engine holds. */
	endLayer: z.number().int().default(0),
	/** Kind of accelerator, as the platform names it. */
	accelerator: z.string().default(''),
	/** Tokens a second that an engine decodes through its range when its batches are full. */
	tokenRate: z.number().default(1000),
});

/** An entry of the platform's list of live and leaving instances. */
export type ListedInstance = z.infer<typeof listedInstanceSchema>;
