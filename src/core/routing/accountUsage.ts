import { DecayingSum } from "./decayingSum.js";
import { UsageReports } from "./usageReports.js";

/** Recent tokens of one client account at this instance. */
interface UsageRecord {
    readonly requested: DecayingSum;
    readonly granted: DecayingSum;
    /** Tokens granted in the last moments. */
    readonly recent: DecayingSum;
}

const MS_PER_SECOND = 1000;
/** Time constant of the sums that tell the rate at which an account is granted tokens now. */
const RECENT_MS = 1000;

/** Tokens that client accounts recently requested and were granted, over all instances that report. */
export class AccountUsage {
    /** Time constant of the sums in milliseconds. */
    readonly windowMs: number;
    readonly #local = new Map<string, UsageRecord>();
    /** By instance of the local data centre, and by remote data centre. */
    readonly #peers = UsageReports.create();
    readonly #remote = UsageReports.create();

    private constructor(windowMs: number) {
        this.windowMs = windowMs;
    }

    /** Creates a record without usage; amounts decay with a time constant of `windowMs`. */
    static create(windowMs: number): AccountUsage {
        return new AccountUsage(windowMs);
    }

    /** Records the demand of a client account, whether or not it is granted later. */
    addDemand(account: string, tokens: number, now: number): void {
        this.#ensure(account).requested.add(tokens, now);
    }

    /** Records that tokens were granted to a client account. */
    addGranted(account: string, tokens: number, now: number): void {
        const { granted, recent } = this.#ensure(account);
        granted.add(tokens, now);
        recent.add(tokens, now);
    }

    /** Replaces the usage that another instance of the local data centre has reported. */
    setPeerUsage(instance: string, usage: Parameters<UsageReports["set"]>[1]): void {
        this.#peers.set(instance, usage);
    }

    /** Replaces the usage that a remote data centre has reported for all its instances. */
    setRemoteUsage(dataCentre: string, usage: Parameters<UsageReports["set"]>[1]): void {
        this.#remote.set(dataCentre, usage);
    }

    /** Returns the tokens recently granted to a client account by all instances. */
    getGranted(account: string, now: number): number {
        return (this.#local.get(account)?.granted.get(now) ?? 0)
            + this.#peers.get(account, now).granted + this.#remote.get(account, now).granted;
    }

    /**
     * Returns whether a client account gets tokens at this instance now no faster than its share allows, of which this instance's
     * part is that of the account's demand.
     *
     * @param share Tokens that the account may be granted over the window by all instances.
     */
    isWithinRate(account: string, share: number, now: number): boolean {
        const record = this.#local.get(account);
        if (!record) {
            return true;
        }
        const requested = record.requested.get(now);
        const others = this.#peers.get(account, now).asked + this.#remote.get(account, now).asked;
        const part = requested / (requested + others);
        return record.recent.getPerSecond(now) <= share * part / this.windowMs * MS_PER_SECOND;
    }

    /**
     * Returns the max-min fair share: the tokens that each client account may be granted over the window, given the
     * capacity and the demand of all accounts; infinite if the capacity covers the demand.
     *
     * @remarks Progressive filling, Bertsekas and Gallager, Data Networks, section 6.5.
     */
    computeShare(tokensPerSecond: number, now: number): number {
        const demand = new Map<string, number>();
        for (const [account, record] of this.#local) {
            demand.set(account, record.requested.get(now));
        }
        for (const reports of [this.#peers, this.#remote]) {
            for (const [account, { asked }] of reports.listTotals(now)) {
                demand.set(account, (demand.get(account) ?? 0) + asked);
            }
        }
        let remaining = tokensPerSecond * this.windowMs / MS_PER_SECOND;
        const amounts = [...demand.values()].sort((a, b) => a - b);
        for (const [i, amount] of amounts.entries()) {
            const equalShare = remaining / (amounts.length - i);
            if (amount > equalShare) {
                return equalShare;
            }
            remaining -= amount;
        }
        return Number.POSITIVE_INFINITY;
    }

    /** Lists the tokens that client accounts recently requested from this instance and were granted. */
    listLocal(now: number): readonly (readonly [account: string, requested: number, granted: number])[] {
        return [...this.#local]
            .map(([account, record]) =>
                [account, Math.round(record.requested.get(now)), Math.round(record.granted.get(now))] as const
            )
            .filter(([, requested, granted]) => requested + granted > 0);
    }

    /**
     * Lists the recent tokens of client accounts at all instances of the local data centre. Usage of remote data centres
     * is left out, or it would grow with each report.
     */
    listDataCentre(now: number): readonly (readonly [account: string, requested: number, granted: number])[] {
        const totals = new Map(
            this.listLocal(now).map(([account, requested, granted]) => [account, { requested, granted }]),
        );
        for (const [account, { asked, granted }] of this.#peers.listTotals(now)) {
            const total = totals.get(account) ?? { requested: 0, granted: 0 };
            totals.set(account, { requested: total.requested + asked, granted: total.granted + granted });
        }
        return [...totals].map(([account, { requested, granted }]) => [account, requested, granted] as const);
    }

    #ensure(account: string): UsageRecord {
        let record = this.#local.get(account);
        if (!record) {
            record = {
                requested: DecayingSum.create(this.windowMs),
                granted: DecayingSum.create(this.windowMs),
                recent: DecayingSum.create(RECENT_MS),
            };
            this.#local.set(account, record);
        }
        return record;
    }
}
