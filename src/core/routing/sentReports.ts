type Loads = readonly (readonly [id: string, inFlight: number, pendingTokens: number])[];
type Usage = readonly (readonly [account: string, asked: number, granted: number])[];

interface SentReport {
    readonly sequence: number;
    readonly loads: Loads;
    readonly usage: Usage;
}

/** Reports that may be part of a summary that is still on its way. */
const KEPT_REPORTS = 12;

/** Own reports that were sent lately, so that they can be taken out of a summary of the data centre. */
export class SentReports {
    #reports: readonly SentReport[] = [];

    /** Creates an empty list. */
    static create(): SentReports {
        return new SentReports();
    }

    /** Adds a report. */
    add(report: SentReport): void {
        this.#reports = [...this.#reports.slice(1 - KEPT_REPORTS), report];
    }

    /**
     * Returns the part of a summary that other instances have caused.
     *
     * @param sequence Own report that the summary includes; `undefined` if it includes none.
     */
    removeFrom(
        summary: { readonly loads: Loads; readonly usage: Usage; },
        sequence: number | undefined,
    ): { readonly loads: Loads; readonly usage: Usage; } {
        const own = this.#reports.find(report => report.sequence === sequence);
        if (!own) {
            return summary;
        }
        return { loads: removeParts(summary.loads, own.loads), usage: removeParts(summary.usage, own.usage) };
    }
}

/** Amounts that both have decayed differently or expired may differ by a little, but none is negative. */
function removeParts(totals: Loads, parts: Loads): Loads {
    const byName = new Map(parts.map(([name, first, second]) => [name, [first, second] as const]));
    return totals.flatMap(([name, first, second]) => {
        const [ownFirst, ownSecond] = byName.get(name) ?? [0, 0];
        const rest = [name, Math.max(0, first - ownFirst), Math.max(0, second - ownSecond)] as const;
        return rest[1] + rest[2] > 0 ? [rest] : [];
    });
}
