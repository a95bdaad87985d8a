import * as z from 'zod';
import {
	duration, ratio, size, wholeNumber,
} from './quantity.js';

const address = z.string().regex(/^\d+\.\d+\.\d+\.\d+:\d+$/v, {error: 'an IP address and a port, such as 10.1.0.40:8080'});
const nonEmptyText = z.string().min(1, {error: 'a non-empty text'});

/** Validates the settings of a pipeline router. Unknown sections and keys are ignored, so that a newer platform may add some. */
export const routerSettingsSchema = z.object({
	instance: z.object({
		id: nonEmptyText,
		availability_zone: nonEmptyText,
		/** Address that callers connect to. */
		callers: address,
		/** Address of the readiness check that the load balancer polls. */
		readiness: address,
		/** Address that other instances connect to. */
		peers: address,
		/** Address that metrics are scraped from. */
		metrics: address,
	}),
	/** Peer addresses of instances that a new one can load its state from while it cannot read the store. */
	seeds: z.object({
		peers: z.string().default('').transform(text => text.split(',').map(part => part.trim()).filter(part => part !== '')),
	}).prefault({}),
	store: z.object({
		address,
		timeout: duration('700 ms'),
		configuration_wait: duration('2400 ms'),
		list_wait: duration('2 s'),
		list_pause: duration('250 ms'),
		/** Time after an outage of the store until servers whose entries expired meanwhile are listed again. */
		return_grace: duration('2200 ms'),
		retry_pause: duration('700 ms'),
	}),
	limits: z.object({
		retry_ratio: ratio(0.2),
		retry_allowance: wholeNumber(198, 0, 1_000_000),
		retry_window: duration('10 s'),
		/** Time after which the backend servers abort work that depends on a lost stage. */
		stall: duration('2 s'),
		queue_wait: duration('1100 ms'),
		queue_places: wholeNumber(200, 0, 100_000),
		come_back: duration('1 s'),
		connect: duration('300 ms'),
		idle_connection: duration('12 s'),
		held_answer: size('256 kB'),
	}).prefault({}),
	placement: z.object({
		/** Fraction of a server's slots for whose requests its memory is to have token capacity. */
		room: ratio(0.6),
		settle: duration('1600 ms'),
		spare: duration('300 ms'),
		order: duration('4 s'),
		refusal: duration('1500 ms'),
		check: duration('400 ms'),
		order_answer: duration('800 ms'),
		lease: duration('2500 ms'),
		lease_period: duration('800 ms'),
		/** Time without gossip from the lease holder after which other instances try to acquire the lease. */
		holder_silence: duration('1200 ms'),
		period: duration('500 ms'),
	}).prefault({}),
	stop: z.object({
		/** Time from the stop signal until the platform kills the process. */
		grace: duration('8 s'),
		/** Time that the load balancer may need to notice that this instance is not ready. */
		notice: duration('2500 ms'),
		/** Time before the kill at which requests still in flight are aborted. */
		margin: duration('500 ms'),
	}).prefault({}),
	logs: z.object({
		level: z.string().default('info'),
		lines_per_second: wholeNumber(40, 1, 10_000),
		burst: wholeNumber(100, 1, 100_000),
	}).prefault({}),
});

/** Validated settings of a pipeline router; durations in milliseconds, sizes in bytes. */
export type RouterSettings = z.infer<typeof routerSettingsSchema>;
