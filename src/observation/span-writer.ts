import {createWriteStream, type WriteStream} from 'node:fs';
import {type ExportResult, ExportResultCode, hrTimeToMilliseconds} from '@opentelemetry/core';
import {type ReadableSpan, type SpanExporter} from '@opentelemetry/sdk-trace-base';
import {type Logger} from 'winston';

function formatSpan(span: ReadableSpan): string {
	const {traceId, spanId} = span.spanContext();
	return JSON.stringify({
		trace: traceId,
		span: spanId,
		parent: span.parentSpanContext?.spanId,
		name: span.name,
		startMs: hrTimeToMilliseconds(span.startTime),
		durationMs: hrTimeToMilliseconds(span.duration),
		attributes: span.attributes,
		status: span.status,
	});
}

/** Exports finished spans as JSON lines to a file, or to the log at level `debug` if no file is set. */
export class SpanWriter implements SpanExporter {
	private readonly stream?: WriteStream;

	constructor(file: string, private readonly log: Logger) {
		if (file !== '') {
			this.stream = createWriteStream(file, {flags: 'a'});
		}
	}

	export(spans: ReadableSpan[], done: (result: ExportResult) => void): void {
		for (const span of spans) {
			if (this.stream) {
				this.stream.write(`${formatSpan(span)}\n`);
			} else {
				this.log.debug(`Span ${formatSpan(span)}`);
			}
		}

		done({code: ExportResultCode.SUCCESS});
	}

	async shutdown(): Promise<void> {
		const {stream} = this;
		if (stream) {
			await new Promise<void>(resolve => {
				stream.end(resolve);
			});
		}
	}
}
