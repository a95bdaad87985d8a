import * as z from 'zod';
import {PlacementPlan} from '../placement/placement-plan.js';
import {
	decimalNumber, duration, optionalSize, optionalWholeNumber, ratio, size, wholeNumber, yesOrNo,
} from './quantity.js';

const address = z.string().regex(/^\d+\.\d+\.\d+\.\d+:\d+$/v, {error: 'an IP address and a port, such as 10.1.0.40:8080'});
const nonEmptyText = z.string().min(1, {error: 'a non-empty text'});

/** Validates the settings of a pipeline router. Unknown sections and keys are ignored, so that a newer platform may add some. */
export const routerSettingsSchema = z.object({
	instance: z.object({
		id: nonEmptyText,
		availability_zone: nonEmptyText,
		/** Whether all instances start for the first time, so that there is time until requests come. */
		first_start: z.boolean().default(false),
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
	/** Messages between instances. */
	peers: z.object({
		/** Bandwidth of this instance's link in megabits per second. */
		link: decimalNumber(14, 0.001, 1_000_000),
		/** Fraction of the link for messages to and from other instances. */
		link_share: ratio(0.0034),
	}).prefault({}),
	secrets: z.object({
		/** Secret of the operators' commands; empty if this instance answers none. */
		operators: z.string().default(''),
	}).prefault({}),
	store: z.object({
		address,
		/** Time limit of a request to the store. */
		timeout: duration('700 ms'),
		/** Time limit of a long poll for a new configuration. */
		configuration_wait: duration('2400 ms'),
		/** Number of instances that read the store's tables for all of them; at least one in each availability zone. */
		readers: wholeNumber(5, 1, 10_000),
		/** Time after the start in which an instance waits for the tables from other instances before it reads them itself. */
		join_patience: duration('300 ms'),
		/** The same when all instances start for the first time. */
		first_join_patience: duration('4 s'),
		/** Time limit of a long poll for changes of the table of instances. */
		instances_wait: duration('10 s'),
		/** Time limit of a long poll for changes of the server list. */
		list_wait: duration('2 s'),
		/** Pause after a change of the server list, so that several changes that come together are read together. */
		list_pause: duration('400 ms'),
		/** Time after an outage of the store until servers whose entries expired meanwhile are listed again. */
		return_grace: duration('2200 ms'),
		/** Bound of the random pause after the first failed request, so that an outage does not cause a burst of requests. It doubles with each further failure. */
		retry_pause: duration('700 ms'),
		/** Largest bound of that pause. */
		max_retry_pause: duration('5 s'),
	}),
	limits: z.object({
		/** Retries allowed per request, within `retry_window`. */
		retry_ratio: ratio(0.2),
		/** Retries allowed within `retry_window` without any requests, shared by all instances. */
		retry_allowance: decimalNumber(198, 0, 1_000_000),
		retry_window: duration('10 s'),
		/** Time after which the backend servers abort work that depends on a lost stage. */
		stall: duration('2 s'),
		/** Upper bound of the time that a request waits for a pipeline, from its arrival. The time itself follows from the limits of its route. */
		queue_wait: duration('4 s'),
		/** Maximum number of queued requests. */
		queue_places: wholeNumber(200, 0, 100_000),
		/** Retry-After of requests that find no pipeline where the time until there is capacity is not known. */
		come_back: duration('1 s'),
		/** Time limit for connecting to a backend server. */
		connect: duration('300 ms'),
		/** Time for which an idle connection to a backend server is kept open. */
		idle_connection: duration('12 s'),
		/** Time for which requests with a prompt part that crashes backend servers are refused. */
		prompt_quarantine: duration('30 min'),
		/** Bytes of a plain response that are buffered until it is complete, so that another server can still be tried. */
		held_answer: size('256 kB'),
		/** Memory that the process may occupy; 0 or blank for the limit of the process. */
		memory: optionalSize(),
		/** Bytes of memory for all requests; 0 for a part of `memory`. */
		body_memory: size('0 B'),
		/** Descriptors that the process may open; 0 or blank for the limit of the process. */
		open_files: optionalWholeNumber(10_000_000),
		/** Work of parsing callers' input in one turn of the event loop, in units of the work of one line. */
		turn_work: wholeNumber(4096, 64, 1_000_000),
	}).prefault({}),
	/** Selection of pipelines by predicted load. */
	scheduling: z.object({
		/** Whether loads are predicted and the choices of the instances are spread; otherwise each selects the cheapest pipeline by the known loads. */
		enabled: yesOrNo('yes'),
		/** Time within which the evidence of a rejection by a full server decays. */
		rejection_memory: duration('1 s'),
		/** Standard deviations of the change of a server's load since the reports that are kept free. */
		margin: decimalNumber(1, 0, 10),
	}).prefault({}),
	/** Predicted lengths of answers. */
	estimates: z.object({
		/** Whether answers are predicted from earlier ones and from the callers' estimates, instead of from the configured mean. */
		enabled: yesOrNo('yes'),
		/** Further answers of its route after which an answer counts half. Not a time, so that a route keeps what it learned while it has few requests. */
		half_life: wholeNumber(1000, 10, 1_000_000),
	}).prefault({}),
	/** Admission of streams with regard to more urgent ones. */
	admission: z.object({
		/** Largest fraction of a server's capacity that is reserved for more urgent requests. */
		largest_reserve: ratio(0.25),
		/** Age at which reports of the requests that wait at other instances are ignored. */
		report_age: duration('2 s'),
	}).prefault({}),
	placement: z.object({
		/** How the initial ranges of the servers of a zone are planned. */
		plan: z.enum(PlacementPlan).default(PlacementPlan.Balanced),
		/** Fraction of a server's slots for whose requests its memory is to have token capacity. */
		room: ratio(0.6),
		/** Most servers of a zone that are moved at a time when its demand lastingly comes near the capacity; 0 for none. */
		moves: wholeNumber(2, 0, 16),
		/** Time without a newly listed server before the first placement. */
		settle: duration('1600 ms'),
		/** Time for which an idle server is reserved for gaps before it strengthens other layers. */
		spare: duration('300 ms'),
		/** Time limit for an order to take effect, in addition to the loading time. */
		order: duration('4 s'),
		/** Time for which a server that refused an order gets no further one. */
		refusal: duration('1500 ms'),
		/** Interval between checks whether an order has been carried out. */
		check: duration('400 ms'),
		/** Time limit for the response to an order. */
		order_answer: duration('800 ms'),
		/** Duration of the placement lease. */
		lease: duration('2500 ms'),
		/** Interval between attempts to acquire or renew the lease. */
		lease_period: duration('800 ms'),
		/** Time without gossip from the lease holder after which other instances try to acquire the lease. */
		holder_silence: duration('2 s'),
		/** Interval between placement runs. */
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
