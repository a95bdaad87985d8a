import * as z from 'zod';
import {InstanceRole} from './instance-role.js';
import {InstanceState} from './instance-state.js';

/** Validates an entry of the instance list. */
export const listedInstanceSchema = z.object({
	id: z.string(),
	role: z.enum(InstanceRole),
	state: z.enum(InstanceState),
	/** Host and port that it listens on, such as `10.0.0.7:8000`; for an entry instance, those of its peer interface. */
	address: z.string(),
	zone: z.string(),
	/** Name of its service; empty for an entry instance. */
	service: z.string(),
	/** Version of the model that an engine has loaded. */
	version: z.string().default(''),
	/** First layer that an engine holds. */
	firstLayer: z.number().int().default(0),
	/** Layer after the last one that an engine holds. */
	endLayer: z.number().int().default(0),
	/** Accelerator type, as named by the platform. */
	accelerator: z.string().default(''),
	/** Tokens per second that an engine decodes through its layer range with full batches. */
	tokenRate: z.number().default(1000),
});

/** An entry of the platform's list of live and leaving instances. */
export type ListedInstance = z.infer<typeof listedInstanceSchema>;
