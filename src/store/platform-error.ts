/** The platform could not be reached, failed or did not respond in time. */
export class PlatformError extends Error {
	constructor(message: string, /** Whether a write may have taken effect or may still take effect. */ readonly isOutcomeUnknown: boolean) {
		super(message);
		this.name = 'PlatformError';
	}
}
