import * as z from 'zod';

const durationUnits: Readonly<Record<string, number>> = {ms: 1, s: 1000, min: 60_000};
const sizeUnits: Readonly<Record<string, number>> = Object.fromEntries([['B', 1], ['kB', 1000], ['MB', 1_000_000]]);
const quantityPattern = /^(?<amount>\d+(?:\.\d+)?(?:[eE][\-+]?\d+)?)\s*(?<unit>[A-Za-z]*)$/v;
const numberPattern = /^\d+(?:\.\d+)?(?:[eE][\-+]?\d+)?$/v;

function quantityWithUnit(units: Readonly<Record<string, number>>, example: string, defaultText: string) {
	const parse = (text: string): number | undefined => {
		const groups = quantityPattern.exec(text.trim())?.groups;
		const factor = groups && units[groups.unit];
		return factor === undefined ? undefined : Number(groups?.amount) * factor;
	};

	return z.string()
		.default(defaultText)
		.refine(text => parse(text) !== undefined, {error: `a number with one of the units ${Object.keys(units).join(', ')}, such as ${example}`})
		.transform(text => parse(text) ?? 0);
}

/** Schema of a duration such as `500 ms` or `2 s`; parsed to milliseconds. */
export function duration(defaultText: string) {
	return quantityWithUnit(durationUnits, '500 ms', defaultText);
}

/** Schema of a size such as `64 kB`; parsed to bytes. */
export function size(defaultText: string) {
	return quantityWithUnit(sizeUnits, '64 kB', defaultText);
}

/** Schema of a size that may be blank, with or without a unit, as a template leaves it where it has no value; parsed to bytes, 0 if blank. */
export function optionalSize() {
	return z.preprocess(text => typeof text === 'string' && /^\s*[A-Za-z]*\s*$/v.test(text) ? undefined : text, size('0 B'));
}

/** Schema of an integer up to a maximum that may be blank; 0 if blank. */
export function optionalWholeNumber(maximum: number) {
	return z.preprocess(text => text === '' ? undefined : text, wholeNumber(0, 0, maximum));
}

/** Schema of an integer between a minimum and a maximum, both inclusive. */
export function wholeNumber(defaultValue: number, minimum: number, maximum: number) {
	return z.string()
		.default(String(defaultValue))
		.refine(text => /^\d+$/v.test(text) && Number(text) >= minimum && Number(text) <= maximum, {error: `a whole number from ${minimum} to ${maximum}`})
		.transform(Number);
}

/** Schema of a number, which may have a fraction, between a minimum and a maximum, both inclusive. */
export function decimalNumber(defaultValue: number, minimum: number, maximum: number) {
	return z.string()
		.default(String(defaultValue))
		.refine(text => numberPattern.test(text) && Number(text) >= minimum && Number(text) <= maximum, {error: `a number from ${minimum} to ${maximum}`})
		.transform(Number);
}

/** Schema of a switch, `yes` or `no`. */
export function yesOrNo(defaultText: 'yes' | 'no') {
	return z.enum(['yes', 'no'], {error: 'yes or no'}).default(defaultText).transform(text => text === 'yes');
}

/** Schema of a fraction from 0 to 1. */
export function ratio(defaultValue: number) {
	return decimalNumber(defaultValue, 0, 1);
}
