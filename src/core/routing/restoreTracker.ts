import type { ChangePosition } from "./changePosition.js";
import { comparePositions } from "./comparePositions.js";
import { NO_ERA } from "./noEra.js";

/** Time in which targets and operators have written again what a restored store had lost, or their entries expire. */
const SETTLE_MS = 5000;

/** Detects that the store has come back from an older copy, and how long its contents may be older than what is known. */
export class RestoreTracker {
    #newest: ChangePosition | undefined;
    /** Monotonic time in milliseconds at which the contents count as complete again; `undefined` if they do. */
    #settledAt: number | undefined;

    /** Creates a tracker that has seen no contents. */
    static create(): RestoreTracker {
        return new RestoreTracker();
    }

    /** Newest position that was adopted. */
    get newest(): ChangePosition | undefined {
        return this.#newest;
    }

    /**
     * Adopts a position. `outdated`: it comes from before a restore, or from an instance that is behind; `restored`: the
     * store has come back from a copy. A store without eras shows that only by a lower revision.
     */
    adopt(position: ChangePosition, now: number): "current" | "restored" | "outdated" {
        const known = this.#newest;
        const order = known ? comparePositions(position, known) : 1;
        if ((order < 0 && position.era !== NO_ERA) || (known && position.era < known.era)) {
            return "outdated";
        }
        this.#newest = { era: position.era, revision: position.revision };
        if (order < 0 || (known && known.era !== NO_ERA && position.era > known.era)) {
            this.#settledAt = now + SETTLE_MS;
            return "restored";
        }
        return "current";
    }

    /** Returns whether contents may still be older than what is known. */
    isSettling(now: number): boolean {
        return this.#settledAt !== undefined && now < this.#settledAt;
    }

    /** Returns true once after the contents have settled, when they have to be read again as a whole. */
    takeSettled(now: number): boolean {
        if (this.#settledAt === undefined || now < this.#settledAt) {
            return false;
        }
        this.#settledAt = undefined;
        return true;
    }
}
