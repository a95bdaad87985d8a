import * as z from 'zod';
import {type StageSimulator} from '../../simulators/stage-simulator.js';
import {classifyLoss, type Loss} from './loss.js';
import {ConnectionEnd, type RequestLife} from './request-life.js';
import {Ending, PlannedRoute} from './request-plan.js';

/** How a request ended. */
export enum Outcome {
	Answered = 'answered',
	Refused = 'refused',
	/** Without a whole reply, but a line of the log names why. */
	Named = 'named in the log',
	/** Its connection was closed while it was under way, and the instance did not read it. */
	Crossed = 'crossed a close',
	/** Its connection was closed before its last byte was sent. */
	Unsent = 'not sent whole',
	/** Its caller left. */
	Left = 'left by its caller',
	Lost = 'lost',
}

/** A request with its outcome and what the instances logged of it. */
export type JudgedRequest = {
	readonly life: RequestLife;
	readonly outcome: Outcome;
	/** How it was lost, if it was. */
	readonly loss?: Loss;
	readonly lines: readonly string[];
};

const crossingLimitMs = 200;
const lineSchema = z.object({message: z.string(), request: z.string().optional(), isBegun: z.boolean().optional()});
const refusalSchema = z.object({code: z.number(), execution: z.string()});

type Line = z.infer<typeof lineSchema>;

function parseLine(text: string): Line | undefined {
	try {
		return lineSchema.parse(JSON.parse(text));
	} catch {
		return undefined;
	}
}

function isRefusal(text: string): boolean {
	try {
		return refusalSchema.safeParse(JSON.parse(text)).success;
	} catch {
		return false;
	}
}

/** Whether a line says why a connection ended without a whole reply. */
function namesEnd({message, isBegun}: Line, {plan}: RequestLife): boolean {
	return plan.ending === Ending.HalfCloses
		? ['request.left', 'request.refused', 'request.failed'].includes(message)
		: message === 'request.failed' && isBegun === true;
}

function judgeReply(life: RequestLife): Outcome {
	if (life.status === 200) {
		return life.isAnswer ? Outcome.Answered : Outcome.Lost;
	}

	// The backend servers reject without a body.
	return isRefusal(life.text) || life.status === 503 ? Outcome.Refused : Outcome.Lost;
}

function judge(life: RequestLife, lines: readonly Line[]): Outcome {
	if (life.isComplete) {
		return judgeReply(life);
	}

	if (life.plan.ending === Ending.Leaves) {
		return Outcome.Left;
	}

	if (life.sentAt === undefined) {
		return Outcome.Unsent;
	}

	if (lines.some(line => namesEnd(line, life))) {
		return Outcome.Named;
	}

	const wasRead = lines.length > 0 || life.receivedBytes > 0 || life.connectionEnd !== ConnectionEnd.Reset;
	return !wasRead && life.endedAt - life.sentAt <= crossingLimitMs ? Outcome.Crossed : Outcome.Lost;
}

/** Matches what callers saw with the log lines of the instances. */
export function judgeRequests(lives: readonly RequestLife[], logLines: readonly string[]): readonly JudgedRequest[] {
	const linesById = new Map<string, Array<{readonly text: string; readonly line: Line}>>();
	for (const text of logLines) {
		const line = parseLine(text);
		if (line?.request !== undefined) {
			const lines = linesById.get(line.request) ?? [];
			lines.push({text, line});
			linesById.set(line.request, lines);
		}
	}

	return lives.map(life => {
		const lines = linesById.get(life.plan.id) ?? [];
		const outcome = judge(life, lines.map(({line}) => line));
		const loss = outcome === Outcome.Lost ? classifyLoss(life, lines.map(({line}) => line.message)) : undefined;
		return {
			life, outcome, loss, lines: lines.map(({text}) => text),
		};
	});
}

/** Returns the ids of the requests that ran more than once although they must not. */
export function findRepeated(servers: readonly StageSimulator[]): readonly string[] {
	const executed = servers.flatMap(({receivedRequests}) => receivedRequests)
		.filter(({path, isMisdirected, isRejected}) => path.startsWith(`/${PlannedRoute.Record}/`) && !isMisdirected && !isRejected)
		.map(({id}) => id);
	return executed.filter((id, index) => executed.indexOf(id) !== index);
}

/** Describes the life of a request for the output of a test. */
export function describeRequest({life, outcome, loss, lines}: JudgedRequest): string {
	const {plan, ...seen} = life;
	const {body, ...planned} = plan;
	return [`${outcome}${loss === undefined ? '' : ` (${loss})`}: ${JSON.stringify({...planned, bodyBytes: body.length})}`, JSON.stringify(seen), ...lines].join('\n  ');
}

/** Counts the outcomes of requests. */
export function countOutcomes(judged: readonly JudgedRequest[]): string {
	return Object.values(Outcome).map(outcome => `${judged.filter(request => request.outcome === outcome).length} ${outcome}`).join(', ');
}

/** Tells how long after their last byte the connections of requests ended that crossed a close, in milliseconds. */
export function describeCrossings(judged: readonly JudgedRequest[]): string {
	const delays = judged.filter(({outcome}) => outcome === Outcome.Crossed).map(({life}) => Math.round(life.endedAt - life.sentAt!));
	return `crossed a close after ms: ${delays.toSorted((left, right) => left - right).join(' ')}`;
}
