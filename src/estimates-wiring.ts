import {AnswerLengths} from './estimates/answer-lengths.js';
import {AnswerRecorder} from './estimates/answer-recorder.js';
import {ConfiguredAnswers} from './estimates/configured-answers.js';
import {type DecisionLog} from './observation/decision-log.js';
import {type Metrics} from './observation/metrics.js';
import {type RouterSettings} from './settings/router-settings.js';

/** Routes whose answers are predicted from one another at a time. */
const maxRoutes = 64;

/** Creates what predicts the tokens of answers. */
export function wireEstimates({estimates}: RouterSettings, {metrics, log}: {readonly metrics: Metrics; readonly log: DecisionLog}): AnswerRecorder {
	const estimator = estimates.enabled ? new AnswerLengths({halfLife: estimates.half_life, maxRoutes}) : new ConfiguredAnswers();
	return new AnswerRecorder(estimator, metrics, log);
}
