import got from 'got';

/** What came of a call of a plain service. */
export type PlainResult = {
	/** HTTP status; 0 where the connection failed. */
	readonly status: number;
	/** `run`, `not_run` or `unknown`. */
	readonly execution: string;
	/** Name of the result code of a refusal. */
	readonly code: string;
	readonly body: string;
	/** Seconds after which to come back; 0 where none was said. */
	readonly retryAfter: number;
};

const requestTimeoutMs = 20_000;

function parseResultCode(body: string): string {
	try {
		const parsed: unknown = JSON.parse(body);
		return typeof parsed === 'object' && parsed !== null && 'error' in parsed ? (parsed.error as {code: string}).code : ''; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	} catch {
		return '';
	}
}

/** Calls an operation once, without any retry of the client's own. */
export async function callOperation(callers: string, path: string, headers: Readonly<Record<string, string>>, body: unknown): Promise<PlainResult> {
	try {
		const response = await got.post(`http://${callers}/v1/services/${path}`, {
			json: body, headers, retry: {limit: 0}, throwHttpErrors: false, timeout: {request: requestTimeoutMs},
		});
		return {
			status: response.statusCode,
			execution: String(response.headers['x-execution'] ?? ''),
			code: parseResultCode(response.body),
			body: response.body,
			retryAfter: Number(response.headers['retry-after'] ?? 0),
		};
	} catch {
		return {
			status: 0, execution: 'unknown', code: '', body: '', retryAfter: 0,
		};
	}
}
