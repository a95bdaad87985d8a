import * as z from 'zod';
import {rumorSchema} from '../membership/rumor.js';

/** Schema of the message that a probe carries. */
export const probeMessageSchema = z.object({
	from: z.string(),
	/** Address of the sender's peer interface. */
	address: z.string(),
	/** Version of the sender's configuration. */
	version: z.number().int(),
	/** Milliseconds since the table's head was last read, as far as the sender knows; -1 if it knows of no reading. */
	tableAge: z.number().int(),
	rumors: z.array(rumorSchema),
});

/** Message that a membership probe and its answer carry. */
export type ProbeMessage = z.infer<typeof probeMessageSchema>;
