import * as z from 'zod';
import {tablePositionSchema} from '../replication/table-position.js';
import {tableUpdateSchema} from '../replication/table-update.js';
import {loadReportSchema} from './load-report.js';
import {packedRowSchema} from './packed-row.js';
import {RowPacking} from './row-packing.js';
import {originalTableNames} from './table-fields.js';

const rumorHeader = {
	origin: z.string(),
	number: z.number().int(),
	epoch: z.number(),
	age: z.number().nonnegative(),
};

const serverRumorHeader = {
	...rumorHeader,
	/** Incarnation id of the backend server. */
	life: z.string(),
};

const suspicionSchema = z.object({
	...serverRumorHeader,
	/** Whether another backend server reports that it waits for this one; otherwise the origin itself could not reach it. */
	isBlocking: z.boolean(),
	reason: z.string(),
});

const rangeSchema = z.object({
	...serverRumorHeader,
	from: z.number().int().nonnegative(),
	to: z.number().int().positive(),
});

/** The ages are those at the start of the rumor, in milliseconds. */
const crashSchema = z.object({
	...serverRumorHeader,
	/** Time since the crash. */
	crashAge: z.number().nonnegative(),
	suspects: z.array(z.object({
		/** Id of a prompt part. */
		part: z.string(),
		/** Time since the latest request with the part was sent to the server. */
		sentAge: z.number().nonnegative(),
	})),
});

const clearedSchema = z.object({
	...rumorHeader,
	/** Ids of prompt parts. */
	parts: z.array(z.string()),
});

const limitSchema = z.object({
	/** Incarnation id of the backend server. */
	life: z.string(),
	/** Requests per second that the server accepts from all instances together; absent if it lifted its limit. */
	perSecond: z.number().nonnegative().optional(),
	/** Milliseconds since the server said so. */
	age: z.number().nonnegative(),
});

const waitingSchema = z.object({
	/** Digest of the id of the instance. */
	instance: z.string(),
	/** Milliseconds since the queue was read. */
	age: z.number().nonnegative(),
	levels: z.array(z.object({
		/** 0 is the most urgent. */
		priority: z.number().int().nonnegative(),
		/** Packed numbers of requests, by digest of the service. */
		requests: z.string(),
		/** Packed tokens that they need, by digest of the service. */
		tokens: z.string(),
	})),
});

const quarantineSchema = z.object({
	/** Id of a prompt part, or fingerprint of a request. */
	part: z.string(),
	/** Unix time in milliseconds. */
	expiresAt: z.number(),
});

const storeAccessSchema = z.object({
	/** Digest of the id of the instance. */
	instance: z.string(),
	/** Rises with each report of the instance. */
	number: z.number(),
	/** Whether the store refuses the instance. */
	isRefused: z.boolean(),
	/** Milliseconds since the instance reported it. */
	age: z.number().nonnegative(),
});

const instanceSchema = z.object({id: z.string(), availabilityZone: z.string(), peers: z.string()});

const tableStatusSchema = z.object({
	...tablePositionSchema.shape,
	/** Number of a transaction after which no row changed. */
	lastChange: z.number(),
	/** Number of the newest transaction that certainly changed a row; undefined if that is the last change, or to be taken for it. */
	knownChange: z.number().optional(),
	/** Milliseconds since the store confirmed the position. */
	age: z.number(),
	/** Milliseconds since the last outage of the store that the reader of the copy noticed; undefined if there was none. */
	outageAge: z.number().optional(),
});

/** Schema of a gossip message. */
export const gossipMessageSchema = z.object({
	from: instanceSchema,
	/** State of the sender's copies of the store's tables, by name of the table. */
	tables: z.partialRecord(z.enum(originalTableNames), tableStatusSchema),
	/** Rows that the recipient may lack. */
	updates: z.partialRecord(z.enum(originalTableNames), tableUpdateSchema),
	/** The same for further tables, some of which the recipient may not know; absent if there are none. */
	furtherTables: z.record(z.string(), tableStatusSchema).optional(),
	furtherUpdates: z.record(z.string(), tableUpdateSchema).optional(),
	/** Large rows of the updates, by name of the table; absent if there are none. */
	packedRows: z.record(z.string(), z.array(packedRowSchema)).optional(),
	/** How the sender wants large rows; absent if it cannot read packed ones. */
	packing: z.enum(RowPacking).optional(),
	/** Packed ages of the load reports that the sender has, by their source; in requests only, absent if there are none. */
	reportAges: z.string().optional(),
	/** Whether the sender asks for all rows that it lacks; otherwise, and if absent, it is sent only a few. */
	wantsRows: z.boolean().optional(),
	loads: z.array(loadReportSchema),
	/** Backend servers that an instance found not to work. */
	suspicions: z.array(suspicionSchema),
	/** Layer ranges that backend servers loaded by order. */
	ranges: z.array(rangeSchema),
	/** Crashes of backend servers that an instance saw; absent if there are none. */
	crashes: z.array(crashSchema).optional(),
	/** Suspected prompt parts that an instance saw work; absent if there are none. */
	vindications: z.array(clearedSchema).optional(),
	/** Limits that backend servers named or lifted; absent if there are none. */
	limits: z.array(limitSchema).optional(),
	/** Requests and prompt parts that are refused; absent if there are none. */
	quarantines: z.array(quarantineSchema).optional(),
	/** Requests that wait at instances of the sender's availability zone; absent if none is known to wait. */
	waiting: z.array(waitingSchema).optional(),
	/** How slow backend servers are, by digest of the incarnation; absent if nothing is known. */
	slowdowns: z.object({
		/** Packed step times relative to the usual ones. */
		factors: z.string(),
		/** Packed ages of these in milliseconds. */
		ages: z.string(),
	}).optional(),
	/** Instances of the sender's availability zone that the store refuses, or serves again; absent if there are none, and in messages to other zones. */
	storeAccess: z.array(storeAccessSchema).optional(),
	/** Whether the sender reaches no backend server itself; absent if it does. */
	isPartitioned: z.boolean().optional(),
	/** The newest sign of the holder of the placement lease; undefined if none is known. */
	placing: z.object({
		/** Fencing number under which it holds the lease. */
		fencing: z.number().int().positive(),
		/** Milliseconds since it sent the sign. */
		age: z.number().nonnegative(),
	}).optional(),
});

/** Message in which an instance shares its load, and what it knows of the store's tables, suspicions, ordered ranges, crashes, quarantines and limits. */
export type GossipMessage = z.infer<typeof gossipMessageSchema>;

/** A report that a backend server does not work. */
export type Suspicion = z.infer<typeof suspicionSchema>;

/** A layer range that a backend server loaded by order. */
export type LoadedRange = z.infer<typeof rangeSchema>;

/** A report that a backend server crashed, with the prompt parts that may have caused it. */
export type ReportedCrash = z.infer<typeof crashSchema>;

/** The limit that a backend server named or lifted. */
export type ReportedLimit = z.infer<typeof limitSchema>;

/** The requests that wait at one instance. */
export type ReportedWaiting = z.infer<typeof waitingSchema>;

/** A report that suspected prompt parts worked. */
export type ClearedReport = z.infer<typeof clearedSchema>;
