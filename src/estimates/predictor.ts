/** What predicts the length of an answer. */
export enum Predictor {
	/** The mean that the configuration names. */
	Configured = 'configured',
	/** The lengths of earlier answers of the route. */
	Route = 'route',
	/** The caller's estimate, corrected by what earlier estimates of the route were worth. */
	Hint = 'hint',
	/** The lengths of earlier answers, each as likely as the caller's estimate is for it. */
	Combined = 'combined',
}
