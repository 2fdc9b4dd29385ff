import { DecayingSum } from "./decayingSum.js";

/** Recent tokens of one client account at this instance. */
interface UsageRecord {
    readonly requested: DecayingSum;
    readonly granted: DecayingSum;
}

interface PeerUsage {
    /** Tokens requested and granted, by client account. */
    readonly tokens: ReadonlyMap<string, { readonly asked: number; readonly granted: number; }>;
    /** Monotonic time in milliseconds. */
    readonly validUntil: number;
}

const MS_PER_SECOND = 1000;

/** Tokens that client accounts recently requested and were granted, over all instances that report. */
export class AccountUsage {
    /** Time constant of the sums in milliseconds. */
    readonly windowMs: number;
    readonly #local = new Map<string, UsageRecord>();
    /** By instance of the local data centre, and by remote data centre. */
    readonly #peers = new Map<string, PeerUsage>();
    readonly #remote = new Map<string, PeerUsage>();

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
        this.#ensure(account).granted.add(tokens, now);
    }

    /** Replaces the usage that another instance of the local data centre has reported. */
    setPeerUsage(instance: string, usage: PeerUsage): void {
        this.#peers.set(instance, usage);
    }

    /** Replaces the usage that a remote data centre has reported for all its instances. */
    setRemoteUsage(dataCentre: string, usage: PeerUsage): void {
        this.#remote.set(dataCentre, usage);
    }

    /** Returns the tokens recently granted to a client account by all instances. */
    getGranted(account: string, now: number): number {
        let total = this.#local.get(account)?.granted.get(now) ?? 0;
        for (const usage of this.#listValidReports(now)) {
            total += usage.tokens.get(account)?.granted ?? 0;
        }
        return total;
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
        for (const usage of this.#listValidReports(now)) {
            for (const [account, tokens] of usage.tokens) {
                demand.set(account, (demand.get(account) ?? 0) + tokens.asked);
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
        for (const usage of this.#listValid(this.#peers, now)) {
            for (const [account, { asked, granted }] of usage.tokens) {
                const total = totals.get(account) ?? { requested: 0, granted: 0 };
                totals.set(account, { requested: total.requested + asked, granted: total.granted + granted });
            }
        }
        return [...totals].map(([account, { requested, granted }]) => [account, requested, granted] as const);
    }

    #ensure(account: string): UsageRecord {
        let record = this.#local.get(account);
        if (!record) {
            record = {
                requested: DecayingSum.create(this.windowMs),
                granted: DecayingSum.create(this.windowMs),
            };
            this.#local.set(account, record);
        }
        return record;
    }

    #listValidReports(now: number): readonly PeerUsage[] {
        return [...this.#listValid(this.#peers, now), ...this.#listValid(this.#remote, now)];
    }

    #listValid(usages: Map<string, PeerUsage>, now: number): readonly PeerUsage[] {
        for (const [name, usage] of usages) {
            if (usage.validUntil < now) {
                usages.delete(name);
            }
        }
        return [...usages.values()];
    }
}
