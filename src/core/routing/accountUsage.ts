import { DecayingSum } from "./decayingSum.js";

/** Recent tokens of one client account at this instance. */
interface UsageRecord {
    readonly asked: DecayingSum;
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
    readonly #own = new Map<string, UsageRecord>();
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
    addAsked(account: string, tokens: number, now: number): void {
        this.#ensure(account).asked.add(tokens, now);
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
        let total = this.#own.get(account)?.granted.get(now) ?? 0;
        for (const usage of this.#listPeers(now)) {
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
        const asked = new Map<string, number>();
        for (const [account, record] of this.#own) {
            asked.set(account, record.asked.get(now));
        }
        for (const usage of this.#listPeers(now)) {
            for (const [account, tokens] of usage.tokens) {
                asked.set(account, (asked.get(account) ?? 0) + tokens.asked);
            }
        }
        let left = tokensPerSecond * this.windowMs / MS_PER_SECOND;
        const amounts = [...asked.values()].sort((a, b) => a - b);
        for (const [i, amount] of amounts.entries()) {
            const even = left / (amounts.length - i);
            if (amount > even) {
                return even;
            }
            left -= amount;
        }
        return Number.POSITIVE_INFINITY;
    }

    /** Lists the tokens that client accounts recently requested from this instance and were granted. */
    listOwn(now: number): readonly (readonly [account: string, asked: number, granted: number])[] {
        return [...this.#own]
            .map(([account, record]) =>
                [account, Math.round(record.asked.get(now)), Math.round(record.granted.get(now))] as const
            )
            .filter(([, asked, granted]) => asked + granted > 0);
    }

    /**
     * Lists the recent tokens of client accounts at all instances of the local data centre. Usage of remote data centres
     * is left out, or it would grow with each report.
     */
    listDataCentre(now: number): readonly (readonly [account: string, asked: number, granted: number])[] {
        const totals = new Map(
            this.listOwn(now).map(([account, asked, granted]) => [account, { asked, granted }]),
        );
        for (const usage of this.#listValid(this.#peers, now)) {
            for (const [account, { asked, granted }] of usage.tokens) {
                const total = totals.get(account) ?? { asked: 0, granted: 0 };
                totals.set(account, { asked: total.asked + asked, granted: total.granted + granted });
            }
        }
        return [...totals].map(([account, { asked, granted }]) => [account, asked, granted] as const);
    }

    #ensure(account: string): UsageRecord {
        let record = this.#own.get(account);
        if (!record) {
            record = {
                asked: DecayingSum.create(this.windowMs),
                granted: DecayingSum.create(this.windowMs),
            };
            this.#own.set(account, record);
        }
        return record;
    }

    #listPeers(now: number): readonly PeerUsage[] {
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
