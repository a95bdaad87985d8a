import * as z from 'zod';
import {
	duration, ratio, size, wholeNumber,
} from './quantity.js';

const address = z.string().regex(/^\d+\.\d+\.\d+\.\d+:\d+$/v, {error: 'an IP address and a port, such as 10.1.0.40:8080'});
const filled = z.string().min(1, {error: 'a text'});

/** Checks the settings of a pipeline router. Keys that are not known are left to newer versions. */
export const routerSettingsSchema = z.object({
	instance: z.object({
		id: filled,
		availability_zone: filled,
		/** Where callers connect. */
		callers: address,
		/** Where the balancer asks whether this instance takes connections. */
		readiness: address,
		/** Where other instances connect. */
		peers: address,
		/** Where metrics are read. */
		metrics: address,
	}),
	/** Peer addresses of instances that may know what a new one cannot read. */
	seeds: z.object({
		peers: z.string().default('').transform(text => text.split(',').map(part => part.trim()).filter(part => part !== '')),
	}).prefault({}),
	store: z.object({
		address,
		timeout: duration('700 ms'),
		configuration_wait: duration('2400 ms'),
		list_wait: duration('2 s'),
		list_pause: duration('250 ms'),
		/** Entries that ran out during an outage are back after this time. */
		return_grace: duration('2200 ms'),
		retry_pause: duration('700 ms'),
	}),
	limits: z.object({
		retry_ratio: ratio(0.2),
		retry_allowance: wholeNumber(198, 0, 1_000_000),
		retry_window: duration('10 s'),
		/** Milliseconds after which work that depends on a lost stage is cut off by its servers. */
		stall: duration('2 s'),
		queue_wait: duration('1100 ms'),
		queue_places: wholeNumber(200, 0, 100_000),
		come_back: duration('1 s'),
		connect: duration('300 ms'),
		idle_connection: duration('12 s'),
		held_answer: size('256 kB'),
	}).prefault({}),
	placement: z.object({
		/** Part of a server's places for whose requests its memory shall have room. */
		room: ratio(0.6),
		settle: duration('1600 ms'),
		spare: duration('300 ms'),
		order: duration('4 s'),
		refusal: duration('1500 ms'),
		check: duration('400 ms'),
		order_answer: duration('800 ms'),
		lease: duration('2500 ms'),
		lease_period: duration('800 ms'),
		/** How long the holder of the lease is not heard of before others try to take it. */
		holder_silence: duration('1200 ms'),
		period: duration('500 ms'),
	}).prefault({}),
	stop: z.object({
		/** From the request to stop until the process is killed. */
		grace: duration('8 s'),
		/** How long the balancer may take to see that this instance is not ready. */
		notice: duration('2500 ms'),
		/** Before the process is killed, what still runs is cut off. */
		margin: duration('500 ms'),
	}).prefault({}),
	logs: z.object({
		level: z.string().default('info'),
		lines_per_second: wholeNumber(40, 1, 10_000),
		burst: wholeNumber(100, 1, 100_000),
	}).prefault({}),
});

/** Settings of a pipeline router; durations in milliseconds, sizes in bytes. */
export type RouterSettings = z.infer<typeof routerSettingsSchema>;
