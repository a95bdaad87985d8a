import {type BackendServer} from '../pipelines/backend-server.js';
import {type PeerForecast} from '../scheduling/peer-forecast.js';
import {getIdDigest, getServerDigest} from './id-digest.js';
import {packedTokensUnit, type LoadReport} from './load-report.js';
import {packCounts, unpackCounts} from './packed-counts.js';

/** Tokens per millisecond that started and that ended between reports, smoothed. */
type Change = {
	readonly startRate: number;
	readonly endRate: number;
};

/** What the other instances are known to hold on one server. */
type Sum = {tokens: number; startRate: number; endRate: number};

type StoredReport = Pick<LoadReport, 'instance' | 'availabilityZone' | 'tokens'> & {
	/** Monotonic time in milliseconds. */
	readonly measuredAt: number;
	readonly tokensByServer: ReadonlyMap<string, number>;
	/** How the tokens changed up to this report, by digest of the server. */
	readonly changes: ReadonlyMap<string, Change>;
};

/** Durations in milliseconds. */
export type PeerLoadLimits = {
	/** Age at which the load in a report is ignored. */
	readonly maxLoadAge: number;
	/** Age at which an instance without a newer report counts as ended. */
	readonly expiry: number;
	/** Between two looks for expired reports. */
	readonly expiryCheckInterval: number;
	/** Characters of the reports of others in one message; those that the recipient lacks most come first. */
	readonly maxCharacters: number;
};

/** Least gain in age for which a report is sent again, in milliseconds; reports that passed through other instances seem newer by their transit time. */
const minGainMs = 200;
/** Interval at which the sums over all reports are computed again. */
const sumIntervalMs = 100;
/** Unit in which the ages of reports are packed, in milliseconds. */
const packedAgesUnit = 10;
/** Weight of the latest change of a report. Rates are averaged over several reports, since an instance starts few requests between two of them. */
const changeWeight = 0.4;
/** Rate below which a change is forgotten, in tokens per millisecond. */
const minRate = 0.01;
/** Approximate characters of a report without its tokens. */
const headCharacters = 45;

/** Returns a digest of the instance or the availability zone that a report is about. */
function getSource({instance, availabilityZone}: Pick<LoadReport, 'instance' | 'availabilityZone'>): string {
	return instance ?? getIdDigest(`zone ${availabilityZone}`);
}

/** Returns how tokens change between an earlier report and a later one. */
function computeChanges(earlier: StoredReport | undefined, tokens: ReadonlyMap<string, number>, measuredAt: number): ReadonlyMap<string, Change> {
	const changes = new Map<string, Change>();
	if (!earlier) {
		return changes;
	}

	const elapsed = Math.max(1, measuredAt - earlier.measuredAt);
	for (const digest of new Set([...tokens.keys(), ...earlier.tokensByServer.keys(), ...earlier.changes.keys()])) {
		const gained = (tokens.get(digest) ?? 0) - (earlier.tokensByServer.get(digest) ?? 0);
		const previous = earlier.changes.get(digest) ?? {startRate: 0, endRate: 0};
		const startRate = (previous.startRate * (1 - changeWeight)) + (Math.max(0, gained) / elapsed * changeWeight);
		const endRate = (previous.endRate * (1 - changeWeight)) + (Math.max(0, -gained) / elapsed * changeWeight);
		if (startRate + endRate >= minRate) {
			changes.set(digest, {startRate, endRate});
		}
	}

	return changes;
}

/**
The load that other instances put on backend servers.

Instances of the own availability zone are known one by one. Each other zone is known by the sum over its instances, since few requests cross zones.
*/
export class PeerLoads {
	private readonly reports = new Map<string, StoredReport>();
	private sums = new Map<string, Sum>();
	/** Mean age of the reports when the sums were computed. */
	private meanAge = 0;
	private reportingCount = 0;
	private summedAt = Number.NEGATIVE_INFINITY;
	private expiryCheckedAt = Number.NEGATIVE_INFINITY;
	private readonly ownDigest: string;

	constructor(private readonly self: {readonly id: string; readonly availabilityZone: string}, private readonly limits: PeerLoadLimits) {
		this.ownDigest = getIdDigest(self.id);
	}

	/** Stores the reports that are newer than the known ones. */
	update(reports: readonly LoadReport[], now: number): void {
		for (const {age, ...report} of reports) {
			const source = getSource(report);
			const measuredAt = now - age;
			if (this.isWanted(report) && measuredAt > (this.reports.get(source)?.measuredAt ?? Number.NEGATIVE_INFINITY)) {
				const tokensByServer = unpackCounts(report.tokens, packedTokensUnit);
				this.reports.set(source, {
					...report, measuredAt, tokensByServer, changes: computeChanges(this.reports.get(source), tokensByServer, measuredAt),
				});
			}
		}
	}

	/** Returns the digests of the ids of the instances of the own availability zone that reported lately, without this one. */
	getReportingInstances(now: number): readonly string[] {
		this.removeExpired(now);
		return [...this.reports.values()].flatMap(({instance}) => instance ?? []);
	}

	/** Returns the number of other instances of the own availability zone whose load is known. */
	countReporting(now: number): number {
		this.updateSums(now);
		return this.reportingCount;
	}

	/** Returns the ages of the known reports that an instance of a zone has use for, packed. */
	packAges(recipientZone: string, now: number): string {
		return packCounts(this.findReports(recipientZone, now).map(report => [getSource(report), now - report.measuredAt]), packedAgesUnit);
	}

	/**
	Returns the report of this instance's load for an instance of its zone, or of its zone's load for another zone.

	@param tokens - tokens that this instance's requests hold, by digest of the backend server's incarnation
	*/
	createOwnReport(tokens: ReadonlyMap<string, number>, recipientZone: string, now: number): LoadReport {
		return recipientZone === this.self.availabilityZone
			? {instance: this.ownDigest, age: 0, tokens: packCounts(tokens, packedTokensUnit)}
			: this.sumUpZone(tokens, now);
	}

	/** Returns the reports of others that an instance with reports of these packed ages lacks or has in an older form. Those of its own zone come first. */
	selectReports(recipientZone: string, packedAges: string, now: number): readonly LoadReport[] {
		const ages = unpackCounts(packedAges, packedAgesUnit);
		const candidates = this.findReports(recipientZone, now)
			.map(report => ({report, age: now - report.measuredAt, knownAge: ages.get(getSource(report)) ?? this.limits.expiry}))
			.filter(({age, knownAge}) => knownAge - age >= minGainMs)
			.toSorted((left, right) => Number(left.report.instance === undefined) - Number(right.report.instance === undefined) || right.knownAge - right.age - left.knownAge + left.age);
		const selected: LoadReport[] = [];
		let characters = 0;
		for (const {report: {instance, availabilityZone, tokens}, age} of candidates) {
			characters += headCharacters + tokens.length;
			if (characters > this.limits.maxCharacters && selected.length > 0) {
				break;
			}

			selected.push({
				instance, availabilityZone, tokens, age: Math.round(age),
			});
		}

		return selected;
	}

	/** Returns the tokens that requests of the other instances hold on the server. */
	getTokens(server: BackendServer, now: number): number {
		return this.getForecast(server, now).tokens;
	}

	/** Returns the tokens that requests of the other instances hold on the server, how they change, and the age of the reports. */
	getForecast(server: BackendServer, now: number): PeerForecast {
		this.updateSums(now);
		const {tokens, startRate, endRate} = this.sums.get(getServerDigest(server)) ?? {tokens: 0, startRate: 0, endRate: 0};
		return {
			tokens, startRate, endRate, age: this.meanAge + now - this.summedAt,
		};
	}

	private isWanted({instance, availabilityZone}: Pick<LoadReport, 'instance' | 'availabilityZone'>): boolean {
		return instance === undefined ? availabilityZone !== this.self.availabilityZone : instance !== this.ownDigest;
	}

	private findReports(recipientZone: string, now: number): readonly StoredReport[] {
		this.removeExpired(now);
		const isSameZone = recipientZone === this.self.availabilityZone;
		return [...this.reports.values()].filter(({instance, availabilityZone}) => isSameZone || (instance === undefined && availabilityZone !== recipientZone));
	}

	private sumUpZone(own: ReadonlyMap<string, number>, now: number): LoadReport {
		const tokens = new Map(own);
		let age = 0;
		const neighbours = [...this.reports.values()].filter(({instance}) => instance !== undefined);
		for (const {measuredAt, tokensByServer} of neighbours) {
			age += now - measuredAt;
			for (const [digest, count] of tokensByServer) {
				tokens.set(digest, (tokens.get(digest) ?? 0) + count);
			}
		}

		return {availabilityZone: this.self.availabilityZone, age: Math.round(age / (neighbours.length + 1)), tokens: packCounts(tokens, packedTokensUnit)};
	}

	private updateSums(now: number): void {
		if (now - this.summedAt < sumIntervalMs) {
			return;
		}

		this.removeExpired(now);
		this.summedAt = now;
		this.sums = new Map();
		const current = [...this.reports.values()].filter(({measuredAt}) => now - measuredAt <= this.limits.maxLoadAge);
		this.reportingCount = current.filter(({instance}) => instance !== undefined).length;
		this.meanAge = current.reduce((sum, {measuredAt}) => sum + now - measuredAt, 0) / Math.max(1, current.length);
		for (const {tokensByServer, changes} of current) {
			for (const [digest, count] of tokensByServer) {
				this.findSum(digest).tokens += count;
			}

			for (const [digest, {startRate, endRate}] of changes) {
				const sum = this.findSum(digest);
				sum.startRate += startRate;
				sum.endRate += endRate;
			}
		}
	}

	private findSum(digest: string): Sum {
		const sum = this.sums.get(digest) ?? {tokens: 0, startRate: 0, endRate: 0};
		this.sums.set(digest, sum);
		return sum;
	}

	private removeExpired(now: number): void {
		if (now - this.expiryCheckedAt < this.limits.expiryCheckInterval) {
			return;
		}

		this.expiryCheckedAt = now;
		for (const [source, {measuredAt}] of this.reports) {
			if (now - measuredAt > this.limits.expiry) {
				this.reports.delete(source);
			}
		}
	}
}
