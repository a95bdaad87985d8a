import {type CrashGuard} from '../quarantine/crash-guard.js';

/** The part of a guard that learns from attempts. */
export type CrashRecorder = Pick<CrashGuard, 'recordProgress' | 'recordLoss' | 'isSuspectedRequest'>;
