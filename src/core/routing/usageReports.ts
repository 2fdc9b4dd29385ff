interface ReportedTokens {
    readonly asked: number;
    readonly granted: number;
}

interface UsageReport {
    /** Tokens requested and granted, by client account. */
    readonly tokens: ReadonlyMap<string, ReportedTokens>;
    /** Monotonic time in milliseconds. */
    readonly validUntil: number;
}

const NO_TOKENS: ReportedTokens = { asked: 0, granted: 0 };

/** Newest reports of the usage of client accounts, and their sum, which is kept up to date as each decision reads it. */
export class UsageReports {
    readonly #reports = new Map<string, UsageReport>();
    readonly #totals = new Map<string, ReportedTokens>();
    /** Monotonic time in milliseconds at which the first report expires. */
    #nextExpiryAt = Number.POSITIVE_INFINITY;

    /** Creates an empty collection. */
    static create(): UsageReports {
        return new UsageReports();
    }

    /** Replaces the report of a sender. */
    set(sender: string, report: UsageReport): void {
        this.#remove(sender);
        this.#reports.set(sender, report);
        this.#nextExpiryAt = Math.min(this.#nextExpiryAt, report.validUntil);
        this.#addTokens(report, 1);
    }

    /** Returns the tokens of a client account in all valid reports. */
    get(account: string, now: number): ReportedTokens {
        return this.listTotals(now).get(account) ?? NO_TOKENS;
    }

    /** Returns the tokens in all valid reports, by client account. */
    listTotals(now: number): ReadonlyMap<string, ReportedTokens> {
        if (this.#nextExpiryAt < now) {
            for (const [sender, { validUntil }] of this.#reports) {
                if (validUntil < now) {
                    this.#remove(sender);
                }
            }
            this.#nextExpiryAt = Math.min(...[...this.#reports.values()].map(({ validUntil }) => validUntil));
        }
        return this.#totals;
    }

    #remove(sender: string): void {
        const report = this.#reports.get(sender);
        if (report) {
            this.#reports.delete(sender);
            this.#addTokens(report, -1);
        }
    }

    #addTokens({ tokens }: UsageReport, sign: 1 | -1): void {
        for (const [account, { asked, granted }] of tokens) {
            const total = this.#totals.get(account) ?? NO_TOKENS;
            const updated = { asked: total.asked + sign * asked, granted: total.granted + sign * granted };
            if (updated.asked <= 0 && updated.granted <= 0) {
                this.#totals.delete(account);
            }
            else {
                this.#totals.set(account, updated);
            }
        }
    }
}
