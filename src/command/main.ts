#!/usr/bin/env node
import process from 'node:process';
import {userInfo} from 'node:os';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {ResultCode} from '../results/result-code.js';
import {
	createKey, drainInstance, listInstances, listWorkspaces, lookUpAction, showUsage,
} from './instance-commands.js';
import {explainRequest} from './log-commands.js';
import {type CommandResult, failure, print} from './output.js';
import {explainRequestRoute} from './selection-command.js';
import {planPlacement} from './placement-commands.js';
import {
	checkSheet, diffSheet, showHistory, showSheet, submitSheet,
} from './sheet-commands.js';

type CommonOptions = {
	readonly instance: string;
	readonly json: boolean;
};

/** The operators' secret is read from the environment, because command-line arguments are visible in process lists. */
const secret = process.env.SISKINNOTCH_SECRET ?? '';

function finish(result: CommandResult, {json}: CommonOptions): void {
	print(result, json);
}

function getConnectionOptions({instance}: CommonOptions) {
	return {instance, secret};
}

const cli = yargs(hideBin(process.argv))
	.scriptName('siskinnotch')
	.usage('$0 COMMAND\n\nOperates siskinnotch. The operators\' secret is read from SISKINNOTCH_SECRET.')
	.option('instance', {type: 'string', default: process.env.SISKINNOTCH_INSTANCE ?? '', describe: 'peer address of an entry instance (or SISKINNOTCH_INSTANCE)'})
	.option('json', {type: 'boolean', default: false, describe: 'print JSON for programs'})
	.command('sheet', 'check, submit and inspect the sheet', sheet => sheet
		.command(
			'check FILE',
			'report all problems of a sheet',
			command => command.positional('FILE', {type: 'string', demandOption: true}).example('$0 sheet check samples/lakeshore.csv', ''),
			async argv => {
				finish(await checkSheet(argv.FILE), argv);
			},
		)
		.command(
			'submit FILE',
			'submit a sheet to replace the version that you saw',
			command => command
				.positional('FILE', {type: 'string', demandOption: true})
				.option('seen', {type: 'number', demandOption: true, describe: 'newest version that you saw; 0 if there was none'})
				.option('planner', {type: 'string', default: userInfo().username, describe: 'your name, for the history'})
				.example('$0 sheet submit samples/lakeshore.csv --seen 0', ''),
			async argv => {
				finish(await submitSheet(getConnectionOptions(argv), argv.FILE, argv.seen, argv.planner), argv);
			},
		)
		.command('show', 'print the sheet in force', command => command.example('$0 sheet show --json', ''), async argv => {
			finish(await showSheet(getConnectionOptions(argv)), argv);
		})
		.command('history', 'print who changed the sheet, and when', command => command.example('$0 sheet history', ''), async argv => {
			finish(await showHistory(getConnectionOptions(argv)), argv);
		})
		.command(
			'diff FILE',
			'print what a sheet would change',
			command => command.positional('FILE', {type: 'string', demandOption: true}).example('$0 sheet diff samples/lakeshore.csv', ''),
			async argv => {
				finish(await diffSheet(getConnectionOptions(argv), argv.FILE), argv);
			},
		)
		.demandCommand(1, 'name a sheet command'))
	.command('workspace', 'list workspaces and their usage', workspace => workspace
		.command('list', 'print the workspaces', command => command.example('$0 workspace list', ''), async argv => {
			finish(await listWorkspaces(getConnectionOptions(argv)), argv);
		})
		.command('usage', 'print the tokens charged', command => command.example('$0 workspace usage --json', ''), async argv => {
			finish(await showUsage(getConnectionOptions(argv)), argv);
		})
		.demandCommand(1, 'name a workspace command'))
	.command('instance', 'list and drain entry instances', instance => instance
		.command('list', 'print the entry instances', command => command.example('$0 instance list', ''), async argv => {
			finish(await listInstances(getConnectionOptions(argv)), argv);
		})
		.command('drain', 'start a planned shutdown', command => command.example('$0 instance drain --instance 10.0.0.7:8081', ''), async argv => {
			finish(await drainInstance(getConnectionOptions(argv)), argv);
		})
		.demandCommand(1, 'name an instance command'))
	.command('route', 'explain routes', route => route
		.command(
			'explain ROUTE',
			'print the route that a request would take now, and why',
			command => command
				.positional('ROUTE', {type: 'string', demandOption: true, describe: 'name of a route; of a model on the own interface'})
				.option('prompt-tokens', {type: 'number', describe: 'tokens of the prompt'})
				.option('answer-tokens', {type: 'number', describe: 'tokens of the answer'})
				.option('workspace', {type: 'string', describe: 'workspace, whose priority applies'})
				.example('$0 route explain findings', '')
				.example('$0 route explain drafts --prompt-tokens 4000 --workspace north', ''),
			async argv => {
				const {ROUTE: route, promptTokens, answerTokens, workspace} = argv;
				finish(await explainRequestRoute(getConnectionOptions(argv), {
					route, promptTokens, answerTokens, workspace,
				}), argv);
			},
		)
		.demandCommand(1, 'name a route command'))
	.command('action', 'look up one-time actions', action => action
		.command(
			'lookup KEY',
			'print the recorded state of a one-time action',
			command => command
				.positional('KEY', {type: 'string', demandOption: true})
				.option('workspace', {type: 'string', demandOption: true})
				.example('$0 action lookup recheck-17 --workspace inspectors-north', ''),
			async argv => {
				finish(await lookUpAction(getConnectionOptions(argv), argv.KEY, argv.workspace), argv);
			},
		)
		.demandCommand(1, 'name an action command'))
	.command('log', 'explain saved logs', log => log
		.command(
			'explain <ID> <FILES..>',
			'print the events of a request from saved logs, and the cause of its end last',
			command => command
				.positional('ID', {type: 'string', demandOption: true})
				.positional('FILES', {type: 'string', array: true, demandOption: true})
				.example('$0 log explain 9c41d07be2a35f68 entry-a.log entry-b.log', ''),
			async argv => {
				finish(await explainRequest(argv.ID, argv.FILES), argv);
			},
		)
		.demandCommand(1, 'name a log command'))
	.command('placement', 'plan which layers the backend servers load', placement => placement
		.command(
			'plan FILE',
			'print which layers each server of a fleet file would load',
			command => command.positional('FILE', {type: 'string', demandOption: true}).example('$0 placement plan samples/fleet.json', ''),
			async argv => {
				finish(await planPlacement(argv.FILE), argv);
			},
		)
		.demandCommand(1, 'name a placement command'))
	.command('key', 'create workspace keys', key => key
		.command('create', 'print a new key once, and its digest for the sheet', command => command.example('$0 key create', ''), argv => {
			finish(createKey(), argv);
		})
		.demandCommand(1, 'name a key command'))
	.demandCommand(1, 'name a command')
	.strict()
	.fail((message, error, parser) => {
		const text = message || error.message;
		if (hideBin(process.argv).includes('--json')) {
			print(failure(ResultCode.UsageError, text), true);
		} else {
			parser.showHelp();
			print(failure(ResultCode.UsageError, text), false);
		}
	});
await cli.parseAsync();
