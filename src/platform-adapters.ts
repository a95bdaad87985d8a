import {type Agent} from 'node:http';
import {type Logger} from 'winston';
import {type CatalogDecoder} from './catalog/catalog-decoder.js';
import {type DecisionLog} from './observation/decision-log.js';
import {type ServerDecoder} from './pipelines/server-decoder.js';
import {type StageReporter} from './pipelines/stage-reporter.js';
import {type OrderSender} from './placement/order-sender.js';
import {type ExchangeCodec} from './relay/exchange-codec.js';
import {type TableFeed} from './replication/table-feed.js';
import {type TableName} from './replication/table-name.js';
import {type Table} from './store/table.js';
import {type TimerService} from './time/timer-service.js';

/** Adapters to the platform that a pipeline router runs on. */
export type PlatformAdapters = {
	/** Holds the row of the placement lease. */
	readonly leaseTable: Table;
	/** Holds a row for each instance. */
	readonly instanceTable: Table;
	/** Holds a row for each request and prompt part under quarantine. */
	readonly quarantineTable: Table;
	readonly feeds: Readonly<Record<TableName, TableFeed>>;
	readonly catalogDecoder: CatalogDecoder;
	readonly serverDecoder: ServerDecoder;
	/** Creates the part that sends placement orders, over connections of the agent. */
	readonly createOrderSender: (agent: Agent) => OrderSender;
	/** Creates the part that queries backend servers, over connections of the agent. */
	readonly createStageReporter: (agent: Agent) => StageReporter;
	readonly codec: ExchangeCodec;
	/** Path that the load balancer polls for readiness. */
	readonly readinessPath: string;
};

/** Services of the process that a pipeline router shares with its platform adapters. */
export type RouterEnvironment = {
	readonly timers: TimerService;
	readonly log: DecisionLog;
	readonly logger: Logger;
	/** Returns the number of log lines dropped so far because their reader did not keep up. */
	readonly countDroppedLines: () => number;
};
