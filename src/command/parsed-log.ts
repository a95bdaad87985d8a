import * as z from 'zod';

const lineSchema = z.looseObject({
	message: z.string(),
	instance: z.string().default(''),
	timestamp: z.string().default(''),
	request: z.string().optional(),
	server: z.string().optional(),
	pipeline: z.string().optional(),
});

/** A decision as it stands in a log. */
export type LogEvent = z.infer<typeof lineSchema>;

/** What was read of saved logs. */
export type ParsedLog = {
	readonly decisions: readonly LogEvent[];
	/** Lines that are no decisions. */
	readonly unreadable: number;
};

const objectPattern = /\{.*\}\s*$/v;

function parseLine(line: string): LogEvent | undefined {
	// A collector may have put something before the object.
	const text = objectPattern.exec(line)?.[0];
	if (text === undefined) {
		return undefined;
	}

	try {
		return lineSchema.safeParse(JSON.parse(text)).data;
	} catch {
		// Counted as unreadable by the caller, which reports the number.
		return undefined;
	}
}

/** Reads the lines of saved logs of one or more processes. */
export function parseLog(text: string): ParsedLog {
	const lines = text.split('\n').filter(line => line.trim() !== '');
	const decisions = lines.map(line => parseLine(line)).filter(decision => decision !== undefined);
	return {decisions, unreadable: lines.length - decisions.length};
}
