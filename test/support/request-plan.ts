import {type RandomSource} from '../../src/routing/random-source.js';

/** The route of a request. */
export enum PlannedRoute {
	Stream = 'drafts',
	/** Must not run twice. */
	Record = 'records',
	Lookup = 'lookups',
}

/** How a caller reads its reply. */
export enum Reading {
	Steady = 'steady',
	/** With a pause after each piece. */
	Slow = 'slow',
	/** With one long pause after the first piece. */
	Pausing = 'pausing',
}

/** What a caller does with its connection after its request. */
export enum Ending {
	Stays = 'stays',
	HalfCloses = 'half-closes',
	Leaves = 'leaves',
}

/** What a caller sends, and how it receives the reply. */
export type RequestPlan = {
	readonly id: string;
	readonly route: PlannedRoute;
	readonly path: string;
	readonly key: string;
	readonly body: string;
	/** Number of pieces in which the body is sent. */
	readonly pieces: number;
	readonly deadlineMs: number;
	readonly reading: Reading;
	readonly ending: Ending;
	readonly answerBytes: number;
	/** Pause before the request. */
	readonly pauseMs: number;
};

const deadlinesMs = [1500, 3000, 5000];
const answerSizes = [0, 0, 0, 200_000, 250_000];
const plainAnswerSizes = [...answerSizes, 3_000_000, 8_000_000];
const bodySizes = [0, 10, 3000, 8000];
const pauseLimitMs = 400;
const maxPieces = 4;
const keys = [...Array.from({length: 7}, () => 'key-1'), 'key-2'];
const readings = [Reading.Steady, Reading.Steady, Reading.Slow, Reading.Pausing];
const endings = [...Array.from({length: 16}, () => Ending.Stays), Ending.HalfCloses, Ending.Leaves];

/** Draws the next request of a caller. */
export function drawRequest(random: RandomSource, id: string): RequestPlan {
	const route = random.pick(Object.values(PlannedRoute));
	const answerBytes = random.pick(route === PlannedRoute.Stream ? answerSizes : plainAnswerSizes);
	return {
		id,
		route,
		path: `/${route}/${id}/${answerBytes}`,
		key: random.pick(keys),
		body: 'x'.repeat(random.pick(bodySizes)),
		pieces: 1 + random.nextInteger(maxPieces),
		deadlineMs: random.pick(deadlinesMs),
		reading: random.pick(readings),
		ending: random.pick(endings),
		answerBytes,
		pauseMs: random.nextInteger(pauseLimitMs),
	};
}

/** Returns how many bytes the answer to a planned path has. */
export function getAnswerBytes(path: string): number {
	return Number(path.split('/')[3] ?? 0);
}

function createEvents(answerBytes: number): string {
	return [1, 2, 3, 4, 5].map(id => `id: ${id}\ndata: ${`token ${id}`.padEnd(answerBytes / 5, '.')}\n\n`).join('');
}

/** Whether a body is the whole answer that the backend servers give. */
export function isWholeAnswer({route, answerBytes}: RequestPlan, text: string): boolean {
	return route === PlannedRoute.Stream
		? text === createEvents(answerBytes)
		: /^answer of records-[ab]\.*$/v.test(text) && text.length >= answerBytes;
}
