import * as z from 'zod';
import {Priority} from './priority.js';
import {RowKind} from './row-kind.js';

/** Schema of a workspace row. */
export const workspaceRowSchema = z.object({
	kind: z.literal(RowKind.Workspace),
	name: z.string(),
	priority: z.enum(Priority),
	/** Share of the capacity, in percent. */
	share: z.number(),
	tokensPerMinute: z.number().int(),
	concurrentStreams: z.number().int(),
	/** SHA-256 digest of the workspace's key, in hexadecimal. */
	keyDigest: z.string(),
});

/** Schema of a service row. A service with a model is a model service; any other is a plain service. */
export const serviceRowSchema = z.object({
	kind: z.literal(RowKind.Service),
	name: z.string(),
	/** Name by which callers request the model; empty for a plain service. */
	model: z.string(),
	/** Number of layers of the model; 0 for a plain service. */
	layers: z.number().int(),
	/** Version of the model that new requests use; empty for a plain service. */
	version: z.string(),
	/** Whether the backend servers reject an order with an outdated fencing number. */
	checksOrders: z.boolean(),
});

/** Schema of a row that defines an operation of a plain service. */
export const operationRowSchema = z.object({
	kind: z.literal(RowKind.Operation),
	name: z.string(),
	service: z.string(),
	isIdempotent: z.boolean(),
});

/** Schema of a row that allows a workspace to call a service. */
export const grantRowSchema = z.object({
	kind: z.literal(RowKind.Grant),
	/** Name of the workspace. */
	name: z.string(),
	service: z.string(),
});

/** Schema of a row of any kind. */
export const sheetRowSchema = z.discriminatedUnion('kind', [workspaceRowSchema, serviceRowSchema, operationRowSchema, grantRowSchema]);

/** A row of a sheet: a workspace, a service, an operation or a grant. */
export type SheetRow = z.infer<typeof sheetRowSchema>;

/** A workspace with its priority, share, limits and key digest. */
export type Workspace = z.infer<typeof workspaceRowSchema>;

/** A service that workspaces may call. */
export type Service = z.infer<typeof serviceRowSchema>;

/** An operation of a plain service. */
export type Operation = z.infer<typeof operationRowSchema>;

/** Returns the key that identifies a row; unique within a sheet. */
export function getRowKey(row: SheetRow): string {
	switch (row.kind) {
		case RowKind.Workspace:
		case RowKind.Service: {
			return `${row.kind}/${row.name}`;
		}

		case RowKind.Operation:
		case RowKind.Grant: {
			return `${row.kind}/${row.service}/${row.name}`;
		}
	}
}
