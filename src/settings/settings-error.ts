import {type ResultCode} from '../results/result-code.js';

/** The settings file cannot be used. The message names file, section, key, what was found and what is allowed. */
export class SettingsError extends Error {
	constructor(readonly code: ResultCode, message: string) {
		super(message);
		this.name = 'SettingsError';
	}
}
