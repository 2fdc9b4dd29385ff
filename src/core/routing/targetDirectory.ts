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

    /** Removes a target, or schedules its removal for the end of the grace period. */
    remove(id: string, now: number): void {
        if (this.#graceUntil <= now) {
            this.#descriptors.delete(id);
            return;
        }
        if (this.#descriptors.has(id)) {
            this.#removals.set(id, this.#graceUntil);
        }
    }

    /** Adopts a complete list; targets missing from it are removed. */
    replaceAll(descriptors: readonly TargetDescriptor[], now: number): void {
        const listed = new Set(descriptors.map(descriptor => descriptor.id));
        [...this.#descriptors.keys()].filter(id => !listed.has(id)).forEach(id => this.remove(id, now));
        descriptors.forEach(descriptor => this.set(descriptor));
    }

    /** Lists the targets, including removed ones whose grace period is not over. */
    list(now: number): readonly TargetDescriptor[] {
        for (const [id, dropAt] of this.#removals) {
            if (dropAt <= now) {
                this.#removals.delete(id);
                this.#descriptors.delete(id);
            }
        }
        return [...this.#descriptors.values()];
    }

    /** Monotonic time in milliseconds of the next pending removal; `undefined` if there is none. */
    get nextChangeAt(): number | undefined {
        const times = [...this.#removals.values()];
        return times.length > 0 ? Math.min(...times) : undefined;
    }
}
