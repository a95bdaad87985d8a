import test from 'ava';
import fc from 'fast-check';
import {AnswerLengths} from '../src/estimates/answer-lengths.js';
import {type AnswerRequest} from '../src/estimates/answer-request.js';
import {Predictor} from '../src/estimates/predictor.js';
import {RandomSource} from '../src/routing/random-source.js';

const usualAnswer = 142;

function createRequest(fields: Partial<AnswerRequest> = {}): AnswerRequest {
	return {
		route: 'drafts', maxAnswerTokens: 4096, usualAnswer, ...fields,
	};
}

function createLengths(): AnswerLengths {
	return new AnswerLengths({halfLife: 1000, maxRoutes: 4});
}

/** Draws a log-normal value with a median of 1. */
function drawLogNormal(random: RandomSource, deviation: number): number {
	return Math.exp(deviation * Math.sqrt(-2 * Math.log(1 - random.nextFraction())) * Math.cos(2 * Math.PI * random.nextFraction()));
}

/** Predicts and records answers, and returns what was measured over those after the first ones. */
function run(lengths: AnswerLengths, count: number, draw: () => {request: AnswerRequest; actual: number; written?: number}) {
	let error = 0;
	let constantError = 0;
	let actualTokens = 0;
	let predictedTokens = 0;
	for (let index = 0; index < count; index++) {
		const {request, actual, written = actual} = draw();
		const {tokens} = lengths.estimate(request);
		if (index >= count / 4) {
			error += Math.abs(tokens - actual);
			constantError += Math.abs(usualAnswer - actual);
			actualTokens += actual;
			predictedTokens += tokens;
		}

		lengths.record(request, written, written === actual);
	}

	return {relativeError: error / constantError, bias: predictedTokens / actualTokens};
}

/** Mean of log-normal lengths with this median and a deviation of 0.7 is 142. */
const medianAnswer = 111;

/** Mean absolute errors of the mean of the length given the hint, relative to those of the constant mean, computed from the distributions that the test draws from. */
const optimalErrors = [[0.3, 0.402], [0.6, 0.656], [0.9, 0.794]] as const;

// Guards against a caller's estimate that is ignored although it is right at the median, and against a biased sum of estimates.
for (const [deviation, optimalError] of optimalErrors) {
	test(`with a hint whose log-normal error is ${deviation} the error is within 15 percent of the least possible one`, t => {
		const random = new RandomSource(1);
		const {relativeError, bias} = run(createLengths(), 4000, () => {
			const actual = Math.ceil(medianAnswer * drawLogNormal(random, 0.7));
			return {actual, request: createRequest({answerEstimate: actual * drawLogNormal(random, deviation)})};
		});
		t.log({relativeError, bias});
		t.true(relativeError < optimalError * 1.15, `${relativeError}`);
		t.true(bias > 0.97 && bias < 1.03, `${bias}`);
	});
}

// Guards against trust in an estimate that says nothing.
test('a hint that is noise costs less than 3 percent against the constant mean', t => {
	const random = new RandomSource(2);
	const {relativeError, bias} = run(createLengths(), 4000, () => ({
		actual: Math.ceil(medianAnswer * drawLogNormal(random, 0.7)), request: createRequest({answerEstimate: medianAnswer * drawLogNormal(random, 0.9)}),
	}));
	t.log({relativeError, bias});
	t.true(relativeError < 1.03, `${relativeError}`);
	t.true(bias > 0.97 && bias < 1.03, `${bias}`);
});

// Guards against a few answers at the start of an instance that mislead it.
test('the first 60 answers with a useful hint are predicted better than by the constant mean, and those with a useless one hardly worse', t => {
	const random = new RandomSource(3);
	const sums = {useful: 0, useless: 0};
	const rounds = 30;
	for (let round = 0; round < rounds; round++) {
		for (const kind of ['useful', 'useless'] as const) {
			sums[kind] += run(createLengths(), 60, () => {
				const actual = Math.ceil(medianAnswer * drawLogNormal(random, 0.7));
				return {actual, request: createRequest({answerEstimate: (kind === 'useful' ? actual : medianAnswer) * drawLogNormal(random, 0.6)})};
			}).relativeError / rounds;
		}
	}

	t.log(sums);
	t.true(sums.useful < 0.85, `${sums.useful}`);
	t.true(sums.useless < 1.1, `${sums.useless}`);
});

// Guards against estimates that are too short because long answers are lost more often.
test('lost answers do not shorten the estimates', t => {
	const random = new RandomSource(4);
	const lengths = createLengths();
	run(lengths, 4000, () => {
		const actual = Math.ceil(medianAnswer * drawLogNormal(random, 0.7));
		const lostAt = Math.ceil(200 * drawLogNormal(random, 0.5));
		return {actual, written: Math.min(actual, lostAt), request: createRequest()};
	});
	const {tokens} = lengths.estimate(createRequest());
	t.log({tokens});
	t.true(Math.abs(tokens - usualAnswer) < 0.08 * usualAnswer, `${tokens}`);
});

test('without history and without a hint the configured mean is used, and no more than the caller\'s bound', t => {
	t.true(Math.abs(createLengths().estimate(createRequest()).tokens - usualAnswer) < 0.5);
	const {tokens} = createLengths().estimate(createRequest({maxAnswerTokens: 30}));
	t.true(tokens > 25 && tokens <= 30, `${tokens}`);
});

// Guards against a stream that outlives its estimate and then counts as ending.
test('the longer an answer already is, the longer it is expected to be in total', t => {
	const lengths = createLengths();
	const request = createRequest({answerEstimate: 40});
	let previous = 0;
	for (const written of [0, 20, 60, 200, 800, 3000, 4096]) {
		const total = written + lengths.estimateRemaining(request, written).tokens;
		t.true(total >= previous && total <= 4096, `${written}: ${total}`);
		previous = total;
	}

	t.is(lengths.estimateRemaining(request, 4096).tokens, 0);
});

// Guards against a mean that is invented for routes whose callers always bound their answers.
test('answers that reach the bound of their callers count as longer ones', t => {
	const lengths = createLengths();
	for (let index = 0; index < 200; index++) {
		lengths.record(createRequest({maxAnswerTokens: 400}), 400, true);
	}

	t.true(lengths.estimate(createRequest({maxAnswerTokens: 400})).tokens > 375);
	t.true(lengths.estimate(createRequest()).tokens > 400);
});

test('the least recently used route is dropped', t => {
	const lengths = createLengths();
	for (const route of ['a', 'b', 'c', 'd', 'a', 'e']) {
		lengths.record(createRequest({route}), 100, true);
	}

	t.is(lengths.getError('b', Predictor.Route), undefined);
	t.not(lengths.getError('a', Predictor.Route), undefined);
});

test('estimates are finite and within the bound, whatever callers send and servers write', t => {
	const positive = fc.double({min: Number.MIN_VALUE, max: Number.MAX_VALUE, noNaN: true});
	const answer = fc.record({
		answerEstimate: fc.option(positive, {nil: undefined}), maxAnswerTokens: fc.integer({min: 1, max: 200_000}), written: fc.integer({min: 0, max: 300_000}), isComplete: fc.boolean(),
	});
	fc.assert(fc.property(fc.array(answer, {minLength: 1, maxLength: 40}), answers => {
		const lengths = createLengths();
		for (const {written, isComplete, ...fields} of answers) {
			const request = createRequest(fields);
			for (const at of [0, written]) {
				const {tokens, error} = lengths.estimateRemaining(request, at);
				t.true(tokens >= 0 && tokens <= fields.maxAnswerTokens && Number.isFinite(error) && error >= 0, `${tokens} ${error}`);
			}

			lengths.record(request, Math.min(written, fields.maxAnswerTokens), isComplete);
		}
	}), {numRuns: 60});
});
