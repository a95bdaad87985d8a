/** Splits `host:port`. */
export function splitAddress(address: string): {readonly host: string; readonly port: number} {
	const separator = address.lastIndexOf(':');
	return {host: address.slice(0, separator), port: Number(address.slice(separator + 1))};
}
