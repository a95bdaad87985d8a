import process from 'node:process';
import {SystemTimerService} from '../src/time/system-timer-service.js';
import {PlatformStandIn} from './platform-stand-in.js';

const port = await new PlatformStandIn(new SystemTimerService()).listen(Number(process.argv[2] ?? '0'));
console.log(`listening ${port}`);
