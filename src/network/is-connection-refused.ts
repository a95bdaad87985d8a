/** Whether an error says that no process listens at the address of a connection. */
export function isConnectionRefused(error: unknown): boolean {
	return error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED';
}
