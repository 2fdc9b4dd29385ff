import type { TargetDescriptor } from "./targetDescriptor.js";

/** Live targets register again within this time after the platform's store has recovered. */
const REGISTRATION_GRACE_MS = 2200;
/** An outage shorter than this cannot make a registration expire. */
const MIN_OUTAGE_MS = 1000;

/**
 * Targets that the platform lists. Registrations that expired during an outage of the store are kept for a grace period
 * after its recovery, because live targets need that long to register again.
 */
export class TargetDirectory {
    readonly #descriptors = new Map<string, TargetDescriptor>();
    /** Monotonic time in milliseconds at which a removed target is dropped, by identifier. */
    readonly #removals = new Map<string, number>();
    #unreachableSince: number | undefined;
    #graceUntil = 0;

    /** Creates an empty directory. */
    static create(): TargetDirectory {
        return new TargetDirectory();
    }

    /** Records that the store is unreachable. */
    setUnreachable(now: number): void {
        this.#unreachableSince ??= now;
    }

    /** Records that the store is reachable; after an outage, this starts the grace period. */
    setReachable(now: number): void {
        if (this.#unreachableSince !== undefined && now - this.#unreachableSince >= MIN_OUTAGE_MS) {
            this.#graceUntil = now + REGISTRATION_GRACE_MS;
        }
        this.#unreachableSince = undefined;
    }

    /** Adds or updates a target and cancels its pending removal. */
    set(descriptor: TargetDescriptor): void {
        this.#descriptors.set(descriptor.id, descriptor);
        this.#removals.delete(descriptor.id);
    }

    /**
     * Removes a target, or schedules its removal for the end of the grace period.
     *
     * @returns False if the target is kept until then.
     */
    remove(id: string, now: number): boolean {
        if (this.#graceUntil > now && this.#descriptors.has(id)) {
            this.#removals.set(id, this.#graceUntil);
            return false;
        }
        this.#descriptors.delete(id);
        return true;
    }

    /** Adopts a complete list and removes targets missing from it, whose identifiers it returns. */
    replaceAll(descriptors: readonly TargetDescriptor[], now: number): readonly string[] {
        const listed = new Set(descriptors.map(descriptor => descriptor.id));
        const missing = [...this.#descriptors.keys()].filter(id => !listed.has(id));
        missing.forEach(id => this.remove(id, now));
        descriptors.forEach(descriptor => this.set(descriptor));
        return missing;
    }

    /** Drops removed targets whose grace period is over, and returns their identifiers. */
    expire(now: number): readonly string[] {
        const expired = [...this.#removals].filter(([, dropAt]) => dropAt <= now).map(([id]) => id);
        for (const id of expired) {
            this.#removals.delete(id);
            this.#descriptors.delete(id);
        }
        return expired;
    }

    /** Returns whether a target is listed or kept. */
    has(id: string): boolean {
        return this.#descriptors.has(id);
    }

    /** Lists the targets, including removed ones whose grace period is not over. */
    list(now: number): readonly TargetDescriptor[] {
        this.expire(now);
        return [...this.#descriptors.values()];
    }

    /** Monotonic time in milliseconds of the next pending removal; `undefined` if there is none. */
    get nextChangeAt(): number | undefined {
        const times = [...this.#removals.values()];
        return times.length > 0 ? Math.min(...times) : undefined;
    }
}
