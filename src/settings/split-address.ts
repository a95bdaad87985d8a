/** Splits an address of the form `host:port` at its last colon. */
export function splitAddress(address: string): {readonly host: string; readonly port: number} {
	const separator = address.lastIndexOf(':');
	return {host: address.slice(0, separator), port: Number(address.slice(separator + 1))};
}
