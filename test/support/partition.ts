import {writeFileSync} from 'node:fs';
import * as z from 'zod';

/** What happens to an instance's connections to the backend servers. */
export enum PartitionKind {
	None = 'none',
	/** Nothing arrives, in either direction, and new connections are not established. */
	Silent = 'silent',
	/** Open connections are reset, and new ones are refused. */
	Reset = 'reset',
	/** Open connections go on, and new ones are refused. */
	NewOnly = 'new_only',
}

/** Schema of a control file. */
export const partitionSchema = z.object({
	kind: z.enum(PartitionKind),
	/** Ports of the backend servers. */
	ports: z.array(z.number()),
});

/** A partition of one process, as its control file says. */
export type Partition = z.infer<typeof partitionSchema>;

/** Writes the control file of a process. */
export function writePartition(file: string, partition: Partition): void {
	writeFileSync(file, JSON.stringify(partition));
}
