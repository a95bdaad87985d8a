import * as z from 'zod';

/** Schema of a line of a trace file. */
export const traceLineSchema = z.object({
	trace: z.string(),
	span: z.string(),
	parent: z.string().optional(),
	name: z.string(),
	startMs: z.number(),
	durationMs: z.number(),
	attributes: z.record(z.string(), z.union([z.string(), z.number()])),
});

/** A span, as a line of a trace file has it. */
export type TraceLine = z.infer<typeof traceLineSchema>;

function drawChildren(spans: readonly TraceLine[], parent: TraceLine, indent: string): string[] {
	const children = spans.filter(({parent: id}) => id === parent.span).toSorted((a, b) => a.startMs - b.startMs);
	return children.flatMap(child => [
		`${indent}- ${child.name} ${child.durationMs.toFixed(1)} ms`,
		...drawChildren(spans, child, `${indent}  `),
	]);
}

/** Draws the spans of a request as an indented tree, one line a span; empty if the request has no trace. */
export function drawTrace(spans: readonly TraceLine[], request: string): readonly string[] {
	const root = spans.find(({attributes}) => attributes.request === request);
	if (!root) {
		return [];
	}

	const traceSpans = spans.filter(({trace}) => trace === root.trace);
	return [`- ${root.name} ${root.durationMs.toFixed(1)} ms`, ...drawChildren(traceSpans, root, '  ')];
}
