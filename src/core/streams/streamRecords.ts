import { BegunStreams } from "./begunStreams.js";
import type { OriginRecord } from "./originRecord.js";
import { OriginRecords } from "./originRecords.js";

/** What this instance remembers of streams that began here or at other instances. Times are monotonic milliseconds. */
export class StreamRecords {
    /** Streams that began here. */
    readonly begun = BegunStreams.create();
    readonly #held = OriginRecords.create<OriginRecord>();

    /** Creates an empty memory. */
    static create(): StreamRecords {
        return new StreamRecords();
    }

    /** Keeps what a peer says of a stream. */
    keep(key: string, origin: string | undefined, expiresAt: number): void {
        this.#held.add(key, { origin, expiresAt });
    }

    /** Finds what is remembered of a stream; records that contradict each other make its origin unknown. */
    find(
        key: string,
        now: number,
    ): { readonly origin: string | undefined; readonly source: "own" | "held"; } | undefined {
        const own = this.begun.find(key, now);
        const held = this.#held.find(key, now);
        const record = own ?? held;
        if (!record) {
            return undefined;
        }
        const isContradicted = own && held && own.origin !== held.origin;
        return { origin: isContradicted ? undefined : record.origin, source: own ? "own" : "held" };
    }

    /** Removes expired records. */
    expire(now: number): void {
        this.begun.expire(now);
        this.#held.expire(now);
    }
}
