import got from 'got';

/** Result of a call of a plain service. */
export type PlainResult = {
	/** HTTP status; 0 if the connection failed. */
	readonly status: number;
	/** `run`, `not_run` or `unknown`. */
	readonly execution: string;
	/** Result code of a refusal; empty if there was none. */
	readonly code: string;
	readonly body: string;
	/** Seconds after which the caller may retry; 0 if the response has no `Retry-After`. */
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

/** Calls an operation once, without retries by the HTTP client. Does not reject: a failed connection is a result with status 0. */
export async function callOperation(callerAddress: string, path: string, headers: Readonly<Record<string, string>>, body: unknown): Promise<PlainResult> {
	try {
		const response = await got.post(`http://${callerAddress}/v1/services/${path}`, {
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
