import type { TargetDescriptor } from "../routing/targetDescriptor.js";
import { hashOrigin } from "./hashOrigin.js";
import type { OriginRecord } from "./originRecord.js";
import { OriginRecords } from "./originRecords.js";
import type { StreamPlace } from "./streamPlace.js";

interface BegunStream extends OriginRecord {
    readonly service: string;
    readonly place: StreamPlace;
    readonly targetId: string;
    readonly startedAtMs: number;
    readonly begunAt: number;
    /** True if other instances hold the record, too. */
    readonly isShared: boolean;
}

/** A target that has started registers at its next report; reports come about every 1.2 s. */
const REGISTRATION_MS = 2500;

type KeyedRecord = readonly [string, OriginRecord];
type Registration = Pick<TargetDescriptor, "startedAtMs" | "version">;

/** Streams that began at this instance. Times are monotonic milliseconds. */
export class BegunStreams {
    readonly #records = OriginRecords.create<BegunStream>();
    /** Registrations by target. */
    #listed: ReadonlyMap<string, Registration> = new Map();

    /** Creates an empty set. */
    static create(): BegunStreams {
        return new BegunStreams();
    }

    /** Records that a target has brought the first event of a stream, and returns the record. */
    add(
        key: string,
        place: StreamPlace,
        target: TargetDescriptor,
        now: number,
        expiresAt: number,
    ): OriginRecord {
        const { id, service, version, startedAtMs } = target;
        const listed = this.#listed.get(id);
        const isReplaced = listed !== undefined && hasNewVersion(target, listed);
        this.#records.add(key, {
            origin: version === undefined || isReplaced ? undefined : hashOrigin({ service, version }),
            expiresAt,
            service,
            place,
            targetId: id,
            startedAtMs,
            begunAt: now,
            isShared: false,
        });
        return this.#records.find(key, now) ?? { origin: undefined, expiresAt };
    }

    /** Finds the record of a stream. */
    find(key: string, now: number): OriginRecord | undefined {
        return this.#records.find(key, now);
    }

    /** Marks a record as held by other instances. */
    markShared(key: string, now: number): void {
        const record = this.#records.find(key, now);
        if (record) {
            this.#records.replace(key, { ...record, isShared: true });
        }
    }

    /** Takes the records that no other instance holds and of which a function of their service and place is true. */
    takeUnshared(
        isTaken: (stream: Pick<BegunStream, "service" | "place">) => boolean,
        now: number,
    ): readonly KeyedRecord[] {
        const unshared = this.#records.list(now).filter(([, record]) => !record.isShared && isTaken(record));
        unshared.forEach(([key]) => this.markShared(key, now));
        return unshared;
    }

    /**
     * Records the complete list of targets.
     *
     * @param confirmedAt When the former list was last confirmed. A target that started again with another version may
     * have brought the first events of streams since it started, which was a little earlier.
     *
     * @returns The records whose origin has become unknown.
     */
    observeTargets(
        targets: readonly TargetDescriptor[],
        confirmedAt: number | undefined,
        now: number,
    ): readonly KeyedRecord[] {
        const former = this.#listed;
        this.#listed = new Map(targets.map(({ id, startedAtMs, version }) => [id, { startedAtMs, version }]));
        const restarted = new Set(
            targets.filter(target => {
                const known = former.get(target.id);
                return known && hasNewVersion(known, target);
            }).map(({ id }) => id),
        );
        if (restarted.size === 0) {
            return [];
        }
        const doubtful = this.#records.list(now).filter(([, { targetId, startedAtMs, begunAt }]) =>
            restarted.has(targetId) && startedAtMs !== this.#listed.get(targetId)?.startedAtMs
            && begunAt > (confirmedAt ?? Number.NEGATIVE_INFINITY) - REGISTRATION_MS
        );
        return doubtful.map(([key, record]) => {
            const unknown = { ...record, origin: undefined, isShared: false };
            this.#records.replace(key, unknown);
            return [key, unknown];
        });
    }

    /** Removes expired records. */
    expire(now: number): void {
        this.#records.expire(now);
    }
}

function hasNewVersion(former: Registration, current: Registration): boolean {
    return former.startedAtMs !== current.startedAtMs && former.version !== current.version;
}
