import * as z from 'zod';
import {rumorSchema} from '../membership/rumor.js';

/** Checks a probe's message. */
export const probeMessageSchema = z.object({
	from: z.string(),
	/** Address of the sender's peer interface. */
	address: z.string(),
	/** Version of the sender's configuration. */
	version: z.number().int(),
	/** Milliseconds since the last reading of the table's head that the sender knows of; -1 where it knows of none. */
	tableAge: z.number().int(),
	rumors: z.array(rumorSchema),
});

/** What a probe and its answer carry. */
export type ProbeMessage = z.infer<typeof probeMessageSchema>;
