import {type ResultCode} from '../results/result-code.js';

/** The settings cannot be used. For an invalid value, the message names file, section, key, the value found and the values expected. */
export class SettingsError extends Error {
	constructor(readonly code: ResultCode, message: string) {
		super(message);
		this.name = 'SettingsError';
	}
}
