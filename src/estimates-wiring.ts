import {AnswerLengths} from './estimates/answer-lengths.js';
import {AnswerRecorder} from './estimates/answer-recorder.js';
import {ConfiguredAnswers} from './estimates/configured-answers.js';
import {ServiceTimes} from './estimates/service-times.js';
import {type DecisionLog} from './observation/decision-log.js';
import {type Metrics} from './observation/metrics.js';
import {type RouterSettings} from './settings/router-settings.js';

/** Routes whose answers are predicted from one another at a time. */
const maxRoutes = 64;
/** Services whose times are kept at a time. */
const maxServices = 64;
/** Further answers of its service after which a time counts half. Short, since the load that a prediction misses changes within minutes. */
const timesHalfLife = 100;

/** Creates what predicts the tokens and the durations of answers. */
export function wireEstimates({estimates}: RouterSettings, {metrics, log}: {readonly metrics: Metrics; readonly log: DecisionLog}): AnswerRecorder {
	const estimator = estimates.enabled ? new AnswerLengths({halfLife: estimates.half_life, maxRoutes}) : new ConfiguredAnswers();
	return new AnswerRecorder(estimator, new ServiceTimes({halfLife: timesHalfLife, maxServices}), metrics, log);
}
