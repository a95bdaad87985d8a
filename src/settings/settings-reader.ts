import {readFileSync} from 'node:fs';
import {parse} from 'ini';
import type * as z from 'zod';
import {ResultCode} from '../results/result-code.js';
import {getErrorMessage} from '../results/to-failure.js';
import {SettingsError} from './settings-error.js';
import {routerSettingsSchema, type RouterSettings} from './router-settings.js';
import {settingsSchema, type Settings} from './settings.js';

const sectionPattern = /^\s*\[(?<section>[^\]]*)\]/v;
const keyPattern = /^\s*(?<key>[^;#=\[\]\s]+)\s*=/v;

/** Reports keys and sections that are defined more than once. */
function findDuplicates(text: string): readonly string[] {
	const seen = new Set<string>();
	const duplicates: string[] = [];
	let section = '';
	for (const [index, line] of text.split(/\r?\n/v).entries()) {
		const sectionName = sectionPattern.exec(line)?.groups?.section;
		const key = keyPattern.exec(line)?.groups?.key;
		if (sectionName === undefined && key === undefined) {
			continue;
		}

		section = sectionName ?? section;
		const location = sectionName === undefined ? `[${section}] ${key}` : `[${section}]`;
		if (seen.has(location)) {
			duplicates.push(`line ${index + 1}: ${location} is defined twice; remove one`);
		}

		seen.add(location);
	}

	return duplicates;
}

function getValueAt(root: unknown, path: readonly PropertyKey[]): unknown {
	let value = root;
	for (const key of path) {
		value = typeof value === 'object' && value !== null ? Reflect.get(value, key) as unknown : undefined;
	}

	return value;
}

function describeIssue(issue: z.core.$ZodIssue, root: unknown): string {
	const [section, key] = issue.path.map(String);
	if (issue.code === 'unrecognized_keys') {
		const location = section === undefined ? '' : `[${section}] `;
		return `${location}${issue.keys.join(', ')}: unknown ${section === undefined ? 'section' : 'key'}; see docs/OPERATORS.md for the supported ones`;
	}

	const found = getValueAt(root, issue.path);
	const isSecret = section === 'secrets';
	const shown = found === undefined ? 'nothing' : (isSecret ? 'a value' : JSON.stringify(found));
	const expectation = found === undefined ? 'a value is required' : `expected ${issue.message}`;
	return `[${section}]${key === undefined ? '' : ` ${key}`}: found ${shown}; ${expectation}`;
}

/**
Parses and validates the text of a settings file.

@param file - name of the file, for error messages
@param text - INI text
@throws SettingsError that names every problem with file, section and key
*/
export function parseSettings(file: string, text: string): Settings {
	return parseWithSchema(settingsSchema, file, text);
}

/** Parses and validates the text of a settings file of a pipeline router. Throws SettingsError. */
export function parseRouterSettings(file: string, text: string): RouterSettings {
	return parseWithSchema(routerSettingsSchema, file, text);
}

function parseWithSchema<Schema extends z.ZodType>(schema: Schema, file: string, text: string): z.infer<Schema> {
	const duplicates = findDuplicates(text);
	if (duplicates.length > 0) {
		throw new SettingsError(ResultCode.SettingsInvalid, `${file}: ${duplicates.join('; ')}`);
	}

	const parsed = structuredClone(parse(text));
	const result = schema.safeParse(parsed);
	if (!result.success) {
		const problems = result.error.issues.map(issue => `${file}: ${describeIssue(issue, parsed)}`);
		throw new SettingsError(ResultCode.SettingsInvalid, problems.join('\n'));
	}

	return result.data;
}

/** Reads and validates a settings file. Throws SettingsError. */
export function readSettings(file: string): Settings {
	return parseSettings(file, readText(file));
}

/** Reads and validates a settings file of a pipeline router. Throws SettingsError. */
export function readRouterSettings(file: string): RouterSettings {
	return parseRouterSettings(file, readText(file));
}

function readText(file: string): string {
	try {
		return readFileSync(file, 'utf8');
	} catch (error) {
		throw new SettingsError(ResultCode.SettingsMissing, `${file}: cannot read the settings file: ${getErrorMessage(error)}`);
	}
}
