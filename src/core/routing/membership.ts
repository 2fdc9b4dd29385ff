import type { MemberRecord } from "./memberRecord.js";
import type { MemberStatus } from "./memberStatus.js";

interface MemberState {
    readonly record: MemberRecord;
    /** Monotonic time in milliseconds until which the member counts as live. */
    readonly liveUntil: number;
}

interface MembershipOptions {
    /** Time in milliseconds without a newer report after which a member counts as down. */
    readonly getInactivityLimitMs: (record: MemberRecord) => number;
    /** Time in milliseconds for which a down member stays known, so that limits divided among members stay safe. */
    readonly retentionMs: number;
}

/** Instances of the fleet, known from their reports, which arrive directly or through a third instance. */
export class Membership {
    readonly #options: MembershipOptions;
    readonly #members = new Map<string, MemberState>();

    private constructor(options: MembershipOptions) {
        this.#options = options;
    }

    /** Creates a membership without members. */
    static create(options: MembershipOptions): Membership {
        return new Membership(options);
    }

    /**
     * Adopts a report if it is newer than the known one. Returns `new` if the member was unknown, down or restarted, and
     * `changed` if its state differs from the last report.
     */
    adopt(record: MemberRecord, now: number): "new" | "changed" | "same" | "stale" {
        const known = this.#members.get(record.name);
        if (known && compareRecency(record, known.record) <= 0) {
            return "stale";
        }
        this.#members.set(record.name, {
            record,
            liveUntil: now + this.#options.getInactivityLimitMs(record),
        });
        if (!known || known.record.incarnation !== record.incarnation || known.liveUntil <= now) {
            return "new";
        }
        return known.record.state === record.state ? "same" : "changed";
    }

    /** Adopts what a third instance says of a member whose record is known; an unknown or restarted member is ignored. */
    renew(status: MemberStatus, now: number): ReturnType<Membership["adopt"]> {
        const [name, incarnation, sequence, state] = status;
        const known = this.#members.get(name)?.record;
        return known?.incarnation === incarnation
            ? this.adopt({ ...known, sequence, state }, now)
            : "stale";
    }

    /** Lists live members. */
    listLive(now: number): readonly MemberRecord[] {
        return [...this.#members.values()].filter(member => member.liveUntil > now).map(({ record }) =>
            record
        );
    }

    /**
     * Lists live members and those that went down within the memory time. An instance that hears of less than half of
     * them is cut off, and forgets none.
     */
    listKnown(now: number): readonly MemberRecord[] {
        const liveCount = 1 + this.listLive(now).length;
        const isCutOff = liveCount * 2 < this.#members.size + 1;
        for (const [name, member] of this.#members) {
            if (!isCutOff && member.liveUntil + this.#options.retentionMs <= now) {
                this.#members.delete(name);
            }
        }
        return [...this.#members.values()].map(({ record }) => record);
    }
}

function compareRecency(a: MemberRecord, b: MemberRecord): number {
    return a.incarnation - b.incarnation || a.sequence - b.sequence;
}
