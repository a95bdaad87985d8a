#!/usr/bin/env node
import process from 'node:process';
import {userInfo} from 'node:os';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {ResultCode} from '../results/result-code.js';
import {
	createKey, drainInstance, explainRoute, listInstances, listWorkspaces, lookUpAction, showUsage,
} from './instance-commands.js';
import {explainRequest} from './log-commands.js';
import {type CommandResult, failure, print} from './output.js';
import {planPlacement} from './placement-commands.js';
import {
	checkSheet, diffSheet, showHistory, showSheet, submitSheet,
} from './sheet-commands.js';

type Common = {
	readonly instance: string;
	readonly json: boolean;
};

/** The operators' secret comes from the environment, so that it stands in no process list. */
const secret = process.env.SISKINNOTCH_SECRET ?? '';

function finish(result: CommandResult, {json}: Common): void {
	print(result, json);
}

function connectionOf({instance}: Common) {
	return {instance, secret};
}

const cli = yargs(hideBin(process.argv))
	.scriptName('siskinnotch')
	.usage('$0 COMMAND\n\nOperates siskinnotch. The operators\' secret is read from SISKINNOTCH_SECRET.')
	.option('instance', {type: 'string', default: process.env.SISKINNOTCH_INSTANCE ?? '', describe: 'peer address of an entry instance (or SISKINNOTCH_INSTANCE)'})
	.option('json', {type: 'boolean', default: false, describe: 'print JSON for programs'})
	.command('sheet', 'the planners\' sheet', sheet => sheet
		.command(
			'check FILE',
			'report all errors of a sheet',
			command => command.positional('FILE', {type: 'string', demandOption: true}).example('$0 sheet check samples/lakeshore.csv', ''),
			async argv => {
				finish(await checkSheet(argv.FILE), argv);
			},
		)
		.command(
			'submit FILE',
			'submit a sheet over the version that you saw',
			command => command
				.positional('FILE', {type: 'string', demandOption: true})
				.option('seen', {type: 'number', demandOption: true, describe: 'version that you saw; 0 before the first'})
				.option('planner', {type: 'string', default: userInfo().username, describe: 'your name, for the history'})
				.example('$0 sheet submit samples/lakeshore.csv --seen 0', ''),
			async argv => {
				finish(await submitSheet(connectionOf(argv), argv.FILE, argv.seen, argv.planner), argv);
			},
		)
		.command('show', 'print the sheet in force', command => command.example('$0 sheet show --json', ''), async argv => {
			finish(await showSheet(connectionOf(argv)), argv);
		})
		.command('history', 'print who changed what', command => command.example('$0 sheet history', ''), async argv => {
			finish(await showHistory(connectionOf(argv)), argv);
		})
		.command(
			'diff FILE',
			'print what a sheet would change',
			command => command.positional('FILE', {type: 'string', demandOption: true}).example('$0 sheet diff samples/lakeshore.csv', ''),
			async argv => {
				finish(await diffSheet(connectionOf(argv), argv.FILE), argv);
			},
		)
		.demandCommand(1, 'name a sheet command'))
	.command('workspace', 'workspaces', workspace => workspace
		.command('list', 'print the workspaces', command => command.example('$0 workspace list', ''), async argv => {
			finish(await listWorkspaces(connectionOf(argv)), argv);
		})
		.command('usage', 'print the tokens charged', command => command.example('$0 workspace usage --json', ''), async argv => {
			finish(await showUsage(connectionOf(argv)), argv);
		})
		.demandCommand(1, 'name a workspace command'))
	.command('instance', 'entry instances', instance => instance
		.command('list', 'print the entry instances', command => command.example('$0 instance list', ''), async argv => {
			finish(await listInstances(connectionOf(argv)), argv);
		})
		.command('drain', 'begin a planned stop', command => command.example('$0 instance drain --instance 10.0.0.7:8081', ''), async argv => {
			finish(await drainInstance(connectionOf(argv)), argv);
		})
		.demandCommand(1, 'name an instance command'))
	.command('route', 'routes', route => route
		.command(
			'explain MODEL',
			'print the route that a request would take now, and why',
			command => command.positional('MODEL', {type: 'string', demandOption: true}).example('$0 route explain findings', ''),
			async argv => {
				finish(await explainRoute(connectionOf(argv), argv.MODEL), argv);
			},
		)
		.demandCommand(1, 'name a route command'))
	.command('action', 'one-time actions', action => action
		.command(
			'lookup KEY',
			'print what is known of an action',
			command => command
				.positional('KEY', {type: 'string', demandOption: true})
				.option('workspace', {type: 'string', demandOption: true})
				.example('$0 action lookup recheck-17 --workspace inspectors-north', ''),
			async argv => {
				finish(await lookUpAction(connectionOf(argv), argv.KEY, argv.workspace), argv);
			},
		)
		.demandCommand(1, 'name an action command'))
	.command('log', 'saved logs', log => log
		.command(
			'explain <ID> <FILES..>',
			'print the life of a request from saved logs, with the cause of its end last',
			command => command
				.positional('ID', {type: 'string', demandOption: true})
				.positional('FILES', {type: 'string', array: true, demandOption: true})
				.example('$0 log explain 9c41d07be2a35f68 entry-a.log entry-b.log', ''),
			async argv => {
				finish(await explainRequest(argv.ID, argv.FILES), argv);
			},
		)
		.demandCommand(1, 'name a log command'))
	.command('placement', 'layers of the backend servers', placement => placement
		.command(
			'plan FILE',
			'print which layers each server of a described fleet would hold',
			command => command.positional('FILE', {type: 'string', demandOption: true}).example('$0 placement plan samples/fleet.json', ''),
			async argv => {
				finish(await planPlacement(argv.FILE), argv);
			},
		)
		.demandCommand(1, 'name a placement command'))
	.command('key', 'keys of workspaces', key => key
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
