import * as z from 'zod';

const durationUnits: Readonly<Record<string, number>> = {ms: 1, s: 1000, min: 60_000};
const sizeUnits: Readonly<Record<string, number>> = Object.fromEntries([['B', 1], ['kB', 1000], ['MB', 1_000_000]]);
const quantityPattern = /^(?<amount>\d+(?:\.\d+)?)\s*(?<unit>[A-Za-z]*)$/v;

function quantity(units: Readonly<Record<string, number>>, example: string, byDefault: string) {
	const parse = (text: string): number | undefined => {
		const groups = quantityPattern.exec(text.trim())?.groups;
		const factor = groups && units[groups.unit];
		return factor === undefined ? undefined : Number(groups?.amount) * factor;
	};

	return z.string()
		.default(byDefault)
		.refine(text => parse(text) !== undefined, {error: `a number with one of the units ${Object.keys(units).join(', ')}, such as ${example}`})
		.transform(text => parse(text) ?? 0);
}

/** A duration such as `500 ms` or `2 s`; read as milliseconds. */
export function duration(byDefault: string) {
	return quantity(durationUnits, '500 ms', byDefault);
}

/** A size such as `64 kB`; read as bytes. */
export function size(byDefault: string) {
	return quantity(sizeUnits, '64 kB', byDefault);
}

/** A whole number within limits. */
export function wholeNumber(byDefault: number, least: number, most: number) {
	return z.string()
		.default(String(byDefault))
		.refine(text => /^\d+$/v.test(text) && Number(text) >= least && Number(text) <= most, {error: `a whole number from ${least} to ${most}`})
		.transform(Number);
}

/** A share from 0 to 1. */
export function ratio(byDefault: number) {
	return z.string()
		.default(String(byDefault))
		.refine(text => /^\d+(?:\.\d+)?$/v.test(text) && Number(text) <= 1, {error: 'a number from 0 to 1'})
		.transform(Number);
}
