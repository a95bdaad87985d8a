import {type BackendServer} from '../pipelines/backend-server.js';
import {getIdDigest, getServerDigest} from './id-digest.js';
import {packedTokensUnit, type LoadReport} from './load-report.js';
import {packCounts, unpackCounts} from './packed-counts.js';

type StoredReport = Pick<LoadReport, 'instance' | 'availabilityZone' | 'tokens'> & {
	/** Monotonic time in milliseconds. */
	readonly measuredAt: number;
	readonly tokensByServer: ReadonlyMap<string, number>;
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
/** Approximate characters of a report without its tokens. */
const headCharacters = 45;

/** Returns a digest of the instance or the availability zone that a report is about. */
function getSource({instance, availabilityZone}: Pick<LoadReport, 'instance' | 'availabilityZone'>): string {
	return instance ?? getIdDigest(`zone ${availabilityZone}`);
}

/**
The load that other instances put on backend servers.

Instances of the own availability zone are known one by one. Each other zone is known by the sum over its instances, since few requests cross zones.
*/
export class PeerLoads {
	private readonly reports = new Map<string, StoredReport>();
	private sums = new Map<string, number>();
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
				this.reports.set(source, {...report, measuredAt, tokensByServer: unpackCounts(report.tokens, packedTokensUnit)});
			}
		}
	}

	/** Returns the digests of the ids of the instances of the own availability zone that reported lately, without this one. */
	getReportingInstances(now: number): readonly string[] {
		this.removeExpired(now);
		return [...this.reports.values()].flatMap(({instance}) => instance ?? []);
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
		if (now - this.summedAt >= sumIntervalMs) {
			this.computeSums(now);
		}

		return this.sums.get(getServerDigest(server)) ?? 0;
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

	private computeSums(now: number): void {
		this.removeExpired(now);
		this.summedAt = now;
		this.sums = new Map();
		for (const {tokensByServer, measuredAt} of this.reports.values()) {
			if (now - measuredAt > this.limits.maxLoadAge) {
				continue;
			}

			for (const [digest, count] of tokensByServer) {
				this.sums.set(digest, (this.sums.get(digest) ?? 0) + count);
			}
		}
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
