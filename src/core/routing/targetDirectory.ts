import type { TargetEntry } from "./targetEntry.js";

/** Live targets register again within this time after the platform's store is back. */
const REGISTRATION_GRACE_MS = 2200;
/** An outage shorter than this cannot make a registration expire. */
const MIN_OUTAGE_MS = 1000;

/**
 * Targets that the platform lists. Registrations that expired during an outage of the store are kept for a grace time
 * after its return, because live targets need that long to register again.
 */
export class TargetDirectory {
    readonly #entries = new Map<string, TargetEntry>();
    /** Monotonic time at which a removed entry is dropped, by identifier. */
    readonly #removals = new Map<string, number>();
    #lostAt: number | undefined;
    #graceUntil = 0;

    /** Creates an empty directory. */
    static create(): TargetDirectory {
        return new TargetDirectory();
    }

    /** Records that the store does not answer. */
    setUnreachable(now: number): void {
        this.#lostAt ??= now;
    }

    /** Records that the store answers. */
    setReachable(now: number): void {
        if (this.#lostAt !== undefined && now - this.#lostAt >= MIN_OUTAGE_MS) {
            this.#graceUntil = now + REGISTRATION_GRACE_MS;
        }
        this.#lostAt = undefined;
    }

    /** Adds or replaces an entry. */
    set(entry: TargetEntry): void {
        this.#entries.set(entry.id, entry);
        this.#removals.delete(entry.id);
    }

    /** Removes an entry, at once or at the end of the grace time. */
    remove(id: string, now: number): void {
        if (this.#graceUntil <= now) {
            this.#entries.delete(id);
            return;
        }
        if (this.#entries.has(id)) {
            this.#removals.set(id, this.#graceUntil);
        }
    }

    /** Adopts a complete list; entries that it lacks are removed. */
    replaceAll(entries: readonly TargetEntry[], now: number): void {
        const listed = new Set(entries.map(entry => entry.id));
        [...this.#entries.keys()].filter(id => !listed.has(id)).forEach(id => this.remove(id, now));
        entries.forEach(entry => this.set(entry));
    }

    /** Lists the targets that count as present. */
    list(now: number): readonly TargetEntry[] {
        for (const [id, dropAt] of this.#removals) {
            if (dropAt <= now) {
                this.#removals.delete(id);
                this.#entries.delete(id);
            }
        }
        return [...this.#entries.values()];
    }

    /** Monotonic time at which `list` next changes by itself, if it does. */
    get nextChangeAt(): number | undefined {
        const times = [...this.#removals.values()];
        return times.length > 0 ? Math.min(...times) : undefined;
    }
}
