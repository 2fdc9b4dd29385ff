/** Permits that this instance holds: each allows one request to a target until it expires. */
export class PermitStock {
    /** Monotonic times in milliseconds at which permits expire, the earliest first, by target. */
    readonly #permits = new Map<string, readonly number[]>();

    /** Creates an empty stock. */
    static create(): PermitStock {
        return new PermitStock();
    }

    /** Adds permits for a target that expire at a monotonic time in milliseconds. */
    add(target: string, count: number, validUntil: number): void {
        const permits = [
            ...this.#permits.get(target) ?? [],
            ...Array.from({ length: count }, () => validUntil),
        ];
        this.#permits.set(target, permits.sort((a, b) => a - b));
    }

    /** Returns whether there is a permit for a target. */
    has(target: string, now: number): boolean {
        return this.#listValid(target, now).length > 0;
    }

    /** Returns whether a permit for a target expires before a time, so that it would be lost unless it is used. */
    hasExpiring(target: string, now: number, before: number): boolean {
        return this.#listValid(target, now).some(validUntil => validUntil < before);
    }

    /** Takes the permit that expires first; returns false if there is none. */
    tryTake(target: string, now: number): boolean {
        const valid = this.#listValid(target, now);
        if (valid.length === 0) {
            return false;
        }
        this.#permits.set(target, valid.slice(1));
        return true;
    }

    #listValid(target: string, now: number): readonly number[] {
        const permits = this.#permits.get(target);
        if (!permits) {
            return [];
        }
        if ((permits[0] ?? Number.POSITIVE_INFINITY) > now) {
            return permits;
        }
        const valid = permits.filter(validUntil => validUntil > now);
        this.#permits.set(target, valid);
        return valid;
    }
}
