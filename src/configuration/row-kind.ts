/** Kinds of rows in a sheet. */
export enum RowKind {
	Workspace = 'workspace',
	Service = 'service',
	Operation = 'operation',
	Grant = 'grant',
}
