/** Kind of a sheet row. */
export enum RowKind {
	Workspace = 'workspace',
	Service = 'service',
	Operation = 'operation',
	Grant = 'grant',
}
