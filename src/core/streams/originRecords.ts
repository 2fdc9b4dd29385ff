import type { OriginRecord } from "./originRecord.js";

/** About 300 streams a second for a minute; a record takes about 150 bytes. */
const MAX_RECORDS = 20_000;

/** Records of streams by their keys; the oldest are dropped beyond a limit. Times are monotonic milliseconds. */
export class OriginRecords<T extends OriginRecord = OriginRecord> {
    readonly #records = new Map<string, T>();

    /** Creates an empty set. */
    static create<T extends OriginRecord = OriginRecord>(): OriginRecords<T> {
        return new OriginRecords<T>();
    }

    /** Number of records, with expired ones that were not removed yet. */
    get size(): number {
        return this.#records.size;
    }

    /** Adds a record. Records of one stream that contradict each other make its origin unknown. */
    add(key: string, record: T): void {
        const known = this.#records.get(key);
        this.#records.delete(key);
        const isContradicted = known !== undefined
            && known.origin !== record.origin;
        const expiresAt = Math.max(record.expiresAt, known?.expiresAt ?? record.expiresAt);
        this.#records.set(key, {
            ...record,
            expiresAt,
            origin: isContradicted ? undefined : record.origin,
        });
        const [oldest] = this.#records.keys();
        if (this.#records.size > MAX_RECORDS && oldest !== undefined) {
            this.#records.delete(oldest);
        }
    }

    /** Finds the record of a stream. */
    find(key: string, now: number): T | undefined {
        const record = this.#records.get(key);
        return record && record.expiresAt > now ? record : undefined;
    }

    /** Replaces a record by one that says more or less of the same stream. */
    replace(key: string, record: T): void {
        if (this.#records.has(key)) {
            this.#records.set(key, record);
        }
    }

    /** Lists all records that have not expired. */
    list(now: number): readonly (readonly [string, T])[] {
        return [...this.#records].filter(([, { expiresAt }]) => expiresAt > now);
    }

    /** Removes expired records from the oldest to the first that has not expired. */
    expire(now: number): void {
        for (const [key, { expiresAt }] of this.#records) {
            if (expiresAt > now) {
                return;
            }
            this.#records.delete(key);
        }
    }
}
