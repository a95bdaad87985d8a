/** The platform could not be asked, or gave no answer in time. */
export class PlatformError extends Error {
	constructor(message: string, /** Whether a write may have taken effect, or may still do so. */ readonly isOutcomeUnknown: boolean) {
		super(message);
		this.name = 'PlatformError';
	}
}
