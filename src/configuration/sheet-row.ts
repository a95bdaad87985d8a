import * as z from 'zod';
import {Priority} from './priority.js';
import {RowKind} from './row-kind.js';

/** Checks a row for a workspace. */
export const workspaceRowSchema = z.object({
	kind: z.literal(RowKind.Workspace),
	name: z.string(),
	priority: z.enum(Priority),
	/** Percent of the capacity. */
	share: z.number(),
	tokensPerMinute: z.number().int(),
	concurrentStreams: z.number().int(),
	/** SHA-256 of the key, in hexadecimal. */
	keyDigest: z.string(),
});

/** Checks a row for a service. A service with a model is a model service, any other a plain one. */
export const serviceRowSchema = z.object({
	kind: z.literal(RowKind.Service),
	name: z.string(),
	/** Name by which callers ask for the model; empty for a plain service. */
	model: z.string(),
	/** Number of layers of the model; 0 for a plain service. */
	layers: z.number().int(),
	/** Version of the model that new requests use. */
	version: z.string(),
	/** Whether the backend servers refuse an order with an old fencing number. */
	checksOrders: z.boolean(),
});

/** Checks a row for an operation of a plain service. */
export const operationRowSchema = z.object({
	kind: z.literal(RowKind.Operation),
	name: z.string(),
	service: z.string(),
	isIdempotent: z.boolean(),
});

/** Checks a row that lets a workspace call a service. */
export const grantRowSchema = z.object({
	kind: z.literal(RowKind.Grant),
	name: z.string(),
	service: z.string(),
});

/** Checks any row. */
export const sheetRowSchema = z.discriminatedUnion('kind', [workspaceRowSchema, serviceRowSchema, operationRowSchema, grantRowSchema]);

/** A row of a sheet: a workspace, a service, an operation or a grant. */
export type SheetRow = z.infer<typeof sheetRowSchema>;

/** A workspace with its priority, share, limits and key digest. */
export type Workspace = z.infer<typeof workspaceRowSchema>;

/** A service that workspaces may call. */
export type Service = z.infer<typeof serviceRowSchema>;

/** An operation of a plain service. */
export type Operation = z.infer<typeof operationRowSchema>;

/** The key under which a row stands in a sheet; no two rows share one. */
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
