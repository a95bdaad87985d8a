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

/** Places of keys and sections that stand twice. */
function duplicatesIn(text: string): readonly string[] {
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
		const place = sectionName === undefined ? `[${section}] ${key}` : `[${section}]`;
		if (seen.has(place)) {
			duplicates.push(`line ${index + 1}: ${place} stands twice; keep one`);
		}

		seen.add(place);
	}

	return duplicates;
}

function valueAt(root: unknown, path: readonly PropertyKey[]): unknown {
	let value = root;
	for (const step of path) {
		value = typeof value === 'object' && value !== null ? Reflect.get(value, step) as unknown : undefined;
	}

	return value;
}

function describe(issue: z.core.$ZodIssue, root: unknown): string {
	const [section, key] = issue.path.map(String);
	if (issue.code === 'unrecognized_keys') {
		const place = section === undefined ? '' : `[${section}] `;
		return `${place}${issue.keys.join(', ')}: unknown ${section === undefined ? 'section' : 'key'}; see docs/OPERATORS.md for those allowed`;
	}

	const found = valueAt(root, issue.path);
	const isSecret = section === 'secrets';
	const shown = found === undefined ? 'nothing' : (isSecret ? 'a value' : JSON.stringify(found));
	const allowed = found === undefined ? 'a value is required' : `allowed is ${issue.message}`;
	return `[${section}]${key === undefined ? '' : ` ${key}`}: found ${shown}; ${allowed}`;
}

/**
Checks the text of a settings file.

@param file - its name, for messages
@param text - INI text
@throws SettingsError that names every problem with file, section and key
*/
export function parseSettings(file: string, text: string): Settings {
	return parseWith(settingsSchema, file, text);
}

/** Checks the text of a settings file of a pipeline router. Throws SettingsError. */
export function parseRouterSettings(file: string, text: string): RouterSettings {
	return parseWith(routerSettingsSchema, file, text);
}

function parseWith<Schema extends z.ZodType>(schema: Schema, file: string, text: string): z.infer<Schema> {
	const duplicates = duplicatesIn(text);
	if (duplicates.length > 0) {
		throw new SettingsError(ResultCode.SettingsInvalid, `${file}: ${duplicates.join('; ')}`);
	}

	const plain = structuredClone(parse(text));
	const reading = schema.safeParse(plain);
	if (!reading.success) {
		const problems = reading.error.issues.map(issue => `${file}: ${describe(issue, plain)}`);
		throw new SettingsError(ResultCode.SettingsInvalid, problems.join('\n'));
	}

	return reading.data;
}

/** Reads and checks a settings file. Throws SettingsError. */
export function readSettings(file: string): Settings {
	return parseSettings(file, readText(file));
}

/** Reads and checks a settings file of a pipeline router. Throws SettingsError. */
export function readRouterSettings(file: string): RouterSettings {
	return parseRouterSettings(file, readText(file));
}

function readText(file: string): string {
	try {
		return readFileSync(file, 'utf8');
	} catch (error) {
		throw new SettingsError(ResultCode.SettingsMissing, `${file}: cannot be read: ${getErrorMessage(error)}`);
	}
}
