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

const writePeriodMs = 200;

/** Starts spans and hands their context on to other processes in the W3C format. */
export class Tracing {
	private readonly provider: BasicTracerProvider;
	private readonly tracer: Tracer;
	private readonly propagator = new W3CTraceContextPropagator();

	/**
	@param exporter - where finished spans go
	@param ratio - share of traces that are recorded, 0 to 1
	*/
	constructor(exporter: SpanExporter, ratio: number) {
		context.setGlobalContextManager(new AsyncLocalStorageContextManager().enable());
		this.provider = new BasicTracerProvider({
			sampler: new ParentBasedSampler({root: new TraceIdRatioBasedSampler(ratio)}),
			spanProcessors: [new BatchSpanProcessor(exporter, {scheduledDelayMillis: writePeriodMs})],
		});
		this.tracer = this.provider.getTracer('siskinnotch');
	}

	/** Starts a span below a context; below the running work's one where none is given. */
	startSpan(name: string, attributes: Attributes = {}, parent: Context = context.active()): Span {
		return this.tracer.startSpan(name, {attributes}, parent);
	}

	/** The context in which children of the span are started. */
	getContext(span: Span): Context {
		return trace.setSpan(ROOT_CONTEXT, span);
	}

	/** Runs the work below a span that goes on after it. */
	runWithSpan<Value>(span: Span, work: () => Value): Value {
		return context.with(this.getContext(span), work);
	}

	/** The context that a caller's headers carry. */
	extract(headers: Headers): Context {
		return this.propagator.extract(ROOT_CONTEXT, headers, headerGetter);
	}

	/** The headers that carry a context to another process; the running work's where none is given. */
	inject(carried: Context = context.active()): Record<string, string> {
		const headers: Record<string, string> = {};
		this.propagator.inject(carried, headers, headerSetter);
		return headers;
	}

	/** Runs the work inside a span, which ends with it and records an error. */
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

	/** Writes what is pending and ends. */
	async close(): Promise<void> {
		await this.provider.shutdown();
		context.disable();
	}
}
