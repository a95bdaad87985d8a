import process from 'node:process';
import {SystemTimerService} from '../src/time/system-timer-service.js';
import {RecordsStandIn} from './records-stand-in.js';

const port = await new RecordsStandIn(new SystemTimerService()).listen(Number(process.argv[2] ?? '0'));
console.log(`listening ${port}`);
