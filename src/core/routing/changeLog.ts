import type { Change } from "./change.js";
import type { ChangeBatch } from "./changeBatch.js";
import type { ChangePosition } from "./changePosition.js";

/** Changes kept for incremental reads; a reader further behind gets a full snapshot. */
const MAX_RECENT = 500;
/** Length of their values together: a configuration may have 1.4 million characters, and change several times a second. */
const MAX_RECENT_CHARACTERS = 4_000_000;

/** Copy of the platform's data that an instance relays to peers in the same data centre. */
export class ChangeLog {
    readonly #current = new Map<string, Change>();
    #recent: Change[] = [];
    #recentCharacters = 0;
    #firstKnown = Number.POSITIVE_INFINITY;
    #last: Omit<ChangeBatch, "changes" | "isWhole"> | undefined;

    /** Creates an empty log. */
    static create(): ChangeLog {
        return new ChangeLog();
    }

    /** Position up to which the log is complete; `undefined` if it is empty. */
    get position(): ChangePosition | undefined {
        return this.#last;
    }

    /** Applies a batch, unless it is of an earlier era; a full snapshot replaces everything known. */
    append(batch: ChangeBatch): void {
        if (this.#last && batch.era < this.#last.era) {
            return;
        }
        if (batch.isWhole) {
            this.#current.clear();
            this.#recent = [];
            this.#recentCharacters = 0;
            this.#firstKnown = batch.revision;
        }
        for (const change of batch.changes) {
            if (change.value === undefined) {
                this.#current.delete(change.key);
            }
            else {
                this.#current.set(change.key, change);
            }
        }
        if (!batch.isWhole) {
            this.#addRecent(batch.changes);
        }
        const { era, revision, confirmedAt, confirmedTimeOfDay } = batch;
        this.#last = { era, revision, confirmedAt, confirmedTimeOfDay };
    }

    /** Returns the changes after a position, or a full snapshot if the log does not cover it; `undefined` if empty. */
    listSince(after: ChangePosition | undefined): ChangeBatch | undefined {
        if (!this.#last) {
            return undefined;
        }
        const isWhole = after === undefined || after.era !== this.#last.era
            || after.revision < this.#firstKnown || after.revision > this.#last.revision;
        return {
            ...this.#last,
            isWhole,
            changes: isWhole
                ? [...this.#current.values()]
                : this.#recent.filter(change => change.revision > after.revision),
        };
    }

    /** Adds changes, and drops the earliest ones beyond the limits. */
    #addRecent(changes: readonly Change[]): void {
        this.#recent.push(...changes);
        this.#recentCharacters += changes.reduce((sum, { value }) => sum + (value?.length ?? 0), 0);
        let dropped = 0;
        while (
            this.#recent.length - dropped > MAX_RECENT || this.#recentCharacters > MAX_RECENT_CHARACTERS
        ) {
            this.#recentCharacters -= this.#recent[dropped]?.value?.length ?? 0;
            dropped += 1;
        }
        this.#firstKnown = this.#recent.splice(0, dropped).at(-1)?.revision ?? this.#firstKnown;
    }
}
