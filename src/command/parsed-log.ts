import * as z from 'zod';

const eventSchema = z.looseObject({
	message: z.string(),
	instance: z.string().default(''),
	timestamp: z.string().default(''),
	request: z.string().optional(),
	server: z.string().optional(),
	pipeline: z.string().optional(),
});

/** One event of a saved log: the event name in `message`, and its other fields. */
export type LogEvent = z.infer<typeof eventSchema>;

/** The events of saved logs. */
export type ParsedLog = {
	readonly events: readonly LogEvent[];
	/** Number of lines that could not be parsed as an event. */
	readonly unreadable: number;
};

const objectPattern = /\{.*\}\s*$/v;

function parseLine(line: string): LogEvent | undefined {
	// A log collector may have prefixed the JSON object.
	const text = objectPattern.exec(line)?.[0];
	if (text === undefined) {
		return undefined;
	}

	try {
		return eventSchema.safeParse(JSON.parse(text)).data;
	} catch {
		// The caller counts the line as unreadable and reports the number.
		return undefined;
	}
}

/** Parses the lines of saved logs from one or more processes. */
export function parseLog(text: string): ParsedLog {
	const lines = text.split('\n').filter(line => line.trim() !== '');
	const events = lines.map(line => parseLine(line)).filter(event => event !== undefined);
	return {events, unreadable: lines.length - events.length};
}
