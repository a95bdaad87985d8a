import {type PlainServerSelector} from '../../pipelines/plain-server-selector.js';

/** Limits of plain exchanges. */
export type PlainLimits = {
	/** Bytes of a response that are buffered until it is complete, so that another server can still be tried. */
	readonly maxBufferedBytes: number;
	/** Fraction of the route's latency target after which a request without a response is sent to a second server as well. */
	readonly responseTimeoutFraction: number;
};

/** Dependencies of plain exchanges, in addition to those of all exchanges. */
export type PlainExchangeDependencies = {
	readonly selector: PlainServerSelector;
	/** Returns this instance's share of the connections that a server accepts from all callers. */
	readonly computeConnectionShare: (connections: number) => number;
	readonly limits: PlainLimits;
};
