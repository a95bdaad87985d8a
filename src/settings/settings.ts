import * as z from 'zod';
import {LogFormat} from '../observation/log.js';
import {RoutePolicyKind} from '../routing/route-policy-kind.js';
import {
	duration, optionalSize, optionalWholeNumber, ratio, size, wholeNumber,
} from './quantity.js';

const address = z.string().regex(/^[\w.\-]+:\d{1,5}$/v, 'an address such as 10.0.0.7:8080');
const secret = z.string().min(16, 'a secret of at least 16 characters');

/** Validates the settings of an entry instance; docs/OPERATORS.md describes the keys. */
export const settingsSchema = z.strictObject({
	instance: z.strictObject({
		id: z.string().regex(/^[\w.\-]{1,63}$/v, 'up to 63 letters, digits, dots and hyphens'),
		availability_zone: z.string().min(1, 'the name of an availability zone'), // eslint-disable-line @typescript-eslint/naming-convention
		callers: address,
		peers: address,
	}),
	platform: z.strictObject({
		url: z.url('a URL such as http://10.0.0.2:7000'),
		timeout: duration('500 ms'),
		list_period: duration('1 s'), // eslint-disable-line @typescript-eslint/naming-convention
		configuration_period: duration('2 s'), // eslint-disable-line @typescript-eslint/naming-convention
	}),
	secrets: z.strictObject({peers: secret, operators: secret}),
	limits: z.strictObject({
		body: size('1 MB'),
		memory: optionalSize(),
		body_memory: size('0 B'), // eslint-disable-line @typescript-eslint/naming-convention
		open_files: optionalWholeNumber(10_000_000), // eslint-disable-line @typescript-eslint/naming-convention
		turn_work: wholeNumber(4096, 64, 1_000_000), // eslint-disable-line @typescript-eslint/naming-convention
		headers: duration('5 s'),
		streams: wholeNumber(512, 1, 100_000),
		queue: wholeNumber(256, 0, 100_000),
		queue_time: duration('2 s'), // eslint-disable-line @typescript-eslint/naming-convention
		deadline: duration('60 s'),
		token_gap: duration('72 ms'), // eslint-disable-line @typescript-eslint/naming-convention
		retry_ratio: ratio(0.2), // eslint-disable-line @typescript-eslint/naming-convention
	}).prefault({}),
	backends: z.strictObject({
		connect: duration('250 ms'),
		stall: duration('300 ms'),
		probe: duration('150 ms'),
		plain: duration('3 s'),
		first_token: duration('640 ms'), // eslint-disable-line @typescript-eslint/naming-convention
	}).prefault({}),
	routing: z.strictObject({
		policy: z.enum(RoutePolicyKind).default(RoutePolicyKind.Flow),
	}).prefault({}),
	peers: z.strictObject({
		probe_period: duration('1 s'), // eslint-disable-line @typescript-eslint/naming-convention
		timeout: duration('400 ms'),
		suspicion: duration('5 s'),
		seeds: z.string().default('').transform(text => text.split(',').map(seed => seed.trim()).filter(seed => seed !== '')),
	}).prefault({}),
	stop: z.strictObject({
		notice: duration('2 s'),
		limit: duration('60 s'),
	}).prefault({}),
	logs: z.strictObject({
		level: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
		format: z.enum(LogFormat).default(LogFormat.Json),
	}).prefault({}),
	traces: z.strictObject({
		file: z.string().default(''),
		ratio: ratio(1),
	}).prefault({}),
});

/** Validated settings of an entry instance; durations in milliseconds, sizes in bytes. */
export type Settings = z.infer<typeof settingsSchema>;
