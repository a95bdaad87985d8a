import {
	context, ROOT_CONTEXT, SpanStatusCode, trace, type Attributes, type Context, type Span, type TextMapGetter, type TextMapSetter, type Tracer,
} from '@opentelemetry/api';
import {AsyncLocalStorageContextManager} from '@opentelemetry/context-async-hooks';
import {W3CTraceContextPropagator} from '@opentelemetry/core';
import {
	BasicTracerProvider, BatchSpanProcessor, ParentBasedSampler, TraceIdRatioBasedSampler, type SpanExporter,
} from '@opentelemetry/sdk-trace-base';
import {getErrorMessage} from '../results/to-failure.js';

type Headers = Readonly<Record<string, string | string[] | undefined>>;

const headerGetter: TextMapGetter<Headers> = {
	keys: headers => Object.keys(headers),
	get: (headers, key) => headers[key],
};

const headerSetter: TextMapSetter<Record<string, string>> = {
	set(headers, key, value) {
		headers[key] = value;
	},
};

const exportDelayMs = 200;

/** Starts spans and propagates their context to other processes in the W3C Trace Context format. */
export class Tracing {
	private readonly provider: BasicTracerProvider;
	private readonly tracer: Tracer;
	private readonly propagator = new W3CTraceContextPropagator();

	/**
	@param exporter - receives finished spans
	@param ratio - fraction of traces to record, from 0 to 1
	*/
	constructor(exporter: SpanExporter, ratio: number) {
		context.setGlobalContextManager(new AsyncLocalStorageContextManager().enable());
		this.provider = new BasicTracerProvider({
			sampler: new ParentBasedSampler({root: new TraceIdRatioBasedSampler(ratio)}),
			spanProcessors: [new BatchSpanProcessor(exporter, {scheduledDelayMillis: exportDelayMs})],
		});
		this.tracer = this.provider.getTracer('siskinnotch');
	}

	/** Starts a span as a child of a context, by default the active one. */
	startSpan(name: string, attributes: Attributes = {}, parent: Context = context.active()): Span {
		return this.tracer.startSpan(name, {attributes}, parent);
	}

	/** Returns the context to start children of the span in. */
	getContext(span: Span): Context {
		return trace.setSpan(ROOT_CONTEXT, span);
	}

	/** Runs the work with the span active; the span is not ended afterwards. */
	runWithSpan<Value>(span: Span, work: () => Value): Value {
		return context.with(this.getContext(span), work);
	}

	/** Extracts the trace context from a caller's headers. */
	extract(headers: Headers): Context {
		return this.propagator.extract(ROOT_CONTEXT, headers, headerGetter);
	}

	/** Returns the headers that propagate a context, by default the active one, to another process. */
	inject(carriedContext: Context = context.active()): Record<string, string> {
		const headers: Record<string, string> = {};
		this.propagator.inject(carriedContext, headers, headerSetter);
		return headers;
	}

	/** Runs the work in a new span, which ends with it and records its error, if any. */
	async runInSpan<Value>(name: string, attributes: Attributes, work: () => Promise<Value>, parent: Context = context.active()): Promise<Value> {
		const span = this.startSpan(name, attributes, parent);
		try {
			return await context.with(trace.setSpan(parent, span), work);
		} catch (error) {
			span.setStatus({code: SpanStatusCode.ERROR, message: getErrorMessage(error)});
			throw error;
		} finally {
			span.end();
		}
	}

	/** Exports the pending spans and shuts down. */
	async close(): Promise<void> {
		await this.provider.shutdown();
		context.disable();
	}
}
