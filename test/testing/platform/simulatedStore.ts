import type { Change } from "../../../src/core/routing/change.js";
import type { ChangeBatch } from "../../../src/core/routing/changeBatch.js";
import type { ChangePosition } from "../../../src/core/routing/changePosition.js";
import { SourceError } from "../../../src/core/routing/sourceError.js";
import type { SimulatedClock } from "../simulatedClock.js";

interface StoreContents {
    readonly items: ReadonlyMap<string, Change>;
    readonly events: readonly Change[];
    readonly revision: number;
}

const ROUND_TRIP_MS = 10;
const POLL_MS = 20;
const WATCH_MS = 1200;
const TIMEOUT_MS = 800;

/** The platform's store in simulated time; it goes back to earlier contents on demand. */
export class SimulatedStore {
    readonly #clock: SimulatedClock;
    #contents: StoreContents = { items: new Map(), events: [], revision: 1 };
    #era = 1;
    isDown = false;

    private constructor(clock: SimulatedClock) {
        this.#clock = clock;
    }

    /** Creates an empty store. */
    static create(clock: SimulatedClock): SimulatedStore {
        return new SimulatedStore(clock);
    }

    get contents(): StoreContents {
        return this.#contents;
    }

    get era(): number {
        return this.#era;
    }

    /** Writes JSON, or removes a key. */
    write(key: string, value: object | undefined): void {
        const revision = this.#contents.revision + 1;
        const text = value === undefined ? undefined : Buffer.from(JSON.stringify(value)).toString("base64");
        const change = { key, revision, value: text };
        const items = new Map(this.#contents.items);
        if (value === undefined) {
            items.delete(key);
        }
        else {
            items.set(key, change);
        }
        this.#contents = { items, events: [...this.#contents.events, change], revision };
    }

    /** Goes back to earlier contents. */
    recover(contents: StoreContents): void {
        this.#contents = contents;
        this.#era += 1;
    }

    /** Reads as `StoreSource` does; `isReachable` tells whether the path to the store is open. */
    async read(
        after: ChangePosition | undefined,
        isUrgent: boolean,
        isReachable: () => boolean,
    ): Promise<ChangeBatch> {
        const confirmedAt = this.#clock.now;
        const deadline = confirmedAt + (isUrgent ? 0 : WATCH_MS);
        await this.#clock.wait(ROUND_TRIP_MS);
        while (after && this.#isUnchanged(after) && this.#clock.now < deadline && this.#isUp(isReachable)) {
            await this.#clock.wait(POLL_MS);
        }
        if (!this.#isUp(isReachable)) {
            await this.#clock.wait(TIMEOUT_MS);
            throw SourceError.create("timeout");
        }
        const { items, events, revision } = this.#contents;
        if (after && (after.era !== this.#era || after.revision > revision)) {
            throw SourceError.create("history-lost");
        }
        return {
            changes: after ? events.filter(event => event.revision > after.revision) : [...items.values()],
            isWhole: after === undefined,
            era: this.#era,
            revision,
            confirmedAt,
            confirmedTimeOfDay: confirmedAt,
        };
    }

    #isUnchanged(after: ChangePosition): boolean {
        return after.era === this.#era && after.revision === this.#contents.revision;
    }

    #isUp(isReachable: () => boolean): boolean {
        return !this.isDown && isReachable();
    }
}
