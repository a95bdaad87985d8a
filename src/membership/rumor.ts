import * as z from 'zod';
import {MemberState} from './member-state.js';

/** Schema of a rumor. */
export const rumorSchema = z.object({
	id: z.string(),
	state: z.enum(MemberState),
	/** Incremented by the member itself to refute a suspicion; the higher incarnation takes precedence. */
	incarnation: z.number().int(),
});

/** State change of a member, piggybacked on probes. */
export type Rumor = z.infer<typeof rumorSchema>;
