import * as z from 'zod';
import {tablePositionSchema} from '../replication/table-position.js';
import {TableName} from '../replication/table-name.js';
import {tableUpdateSchema} from '../replication/table-update.js';
import {loadReportSchema} from './load-report.js';

const rumorHeader = {
	origin: z.string(),
	number: z.number().int(),
	epoch: z.number(),
	age: z.number().nonnegative(),
	/** Incarnation id of the backend server. */
	life: z.string(),
};

const suspicionSchema = z.object({
	...rumorHeader,
	/** Whether another backend server reports that it waits for this one; otherwise the origin itself could not reach it. */
	isBlocking: z.boolean(),
	reason: z.string(),
});

const rangeSchema = z.object({
	...rumorHeader,
	from: z.number().int().nonnegative(),
	to: z.number().int().positive(),
});

const instanceSchema = z.object({id: z.string(), availabilityZone: z.string(), peers: z.string()});

const tableStatusSchema = z.object({
	...tablePositionSchema.shape,
	/** Number of the transaction that last changed a row. */
	lastChange: z.number(),
	/** Milliseconds since the store confirmed the position. */
	age: z.number(),
	/** Milliseconds since the last outage of the store that the reader of the copy noticed; undefined if there was none. */
	outageAge: z.number().optional(),
});

/** Schema of a gossip message. */
export const gossipMessageSchema = z.object({
	from: instanceSchema,
	/** State of the sender's copies of the store's tables, by name of the table. */
	tables: z.partialRecord(z.enum(TableName), tableStatusSchema),
	/** Rows that the recipient may lack. */
	updates: z.partialRecord(z.enum(TableName), tableUpdateSchema),
	/** Packed ages of the load reports that the sender has, by their source; in requests only. */
	reportAges: z.string().default(''),
	/** Whether the sender asks for all rows that it lacks; otherwise it is sent only a few. */
	wantsRows: z.boolean().default(false),
	loads: z.array(loadReportSchema),
	/** Backend servers that an instance found not to work. */
	suspicions: z.array(suspicionSchema),
	/** Layer ranges that backend servers loaded by order. */
	ranges: z.array(rangeSchema),
	/** The newest sign of the holder of the placement lease; undefined if none is known. */
	placing: z.object({
		/** Fencing number under which it holds the lease. */
		fencing: z.number().int().positive(),
		/** Milliseconds since it sent the sign. */
		age: z.number().nonnegative(),
	}).optional(),
});

/** Message in which an instance shares its load, and what it knows of the store's tables, suspicions and ordered ranges. */
export type GossipMessage = z.infer<typeof gossipMessageSchema>;

/** A report that a backend server does not work. */
export type Suspicion = z.infer<typeof suspicionSchema>;

/** A layer range that a backend server loaded by order. */
export type LoadedRange = z.infer<typeof rangeSchema>;
