import * as z from 'zod';
import {MemberState} from './member-state.js';

/** Checks a rumor. */
export const rumorSchema = z.object({
	id: z.string(),
	state: z.enum(MemberState),
	/** Raised by the member itself when it refutes a suspicion; the higher one counts. */
	incarnation: z.number().int(),
});

/** News of a member, carried along with probes. */
export type Rumor = z.infer<typeof rumorSchema>;
