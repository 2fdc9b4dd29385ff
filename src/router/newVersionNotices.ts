import type { MemberRecord } from "../core/routing/memberRecord.js";
import type { LogSink } from "./logSink.js";
import type { OriginMessage } from "./originMessage.js";

interface NewVersionNoticesOptions {
    readonly log: Pick<LogSink, "write">;
    readonly instance: string;
    /** Lists the live instances, with this one. */
    readonly listMembers: () => readonly MemberRecord[];
    readonly send: (message: OriginMessage, host: string) => void;
    /** Time in milliseconds for which an instance that is cut off may be certain of an origin. */
    readonly maxDelayMs: number;
    /** Monotonic time in milliseconds. */
    readonly startedAt: number;
}

interface Notice {
    readonly service: string;
    readonly version: string | null;
    /** Hosts that have not confirmed the notice; `undefined` if a peer has sent it. */
    readonly awaited: Set<string> | undefined;
    /** True if all instances know of the version. */
    isKnown: boolean;
    repeatAt: number;
    repeats: number;
    readonly expiresAt: number;
}

const REPEAT_MS = 120;
const MAX_REPEATS = 3;
/** Longer than new versions wait, and shorter than the time after which a version that comes back is new again. */
const LIFETIME_MS = 5000;
const MAX_NOTICES = 1000;
const MEMBERS_INTERVAL_MS = 1000;

/**
 * Notices to all instances about versions whose streams begin without the usual delay. Times are monotonic milliseconds.
 *
 * @remarks Streams begin once all instances that were live lately have confirmed the notice. One that is cut off does not,
 * and may be certain of the version before, so that the usual delay has to pass.
 */
export class NewVersionNotices {
    readonly #options: NewVersionNoticesOptions;
    readonly #notices = new Map<string, Notice>();
    /** When each host was last live. */
    readonly #liveAt = new Map<string, number>();
    #nextMembersAt = Number.NEGATIVE_INFINITY;

    private constructor(options: NewVersionNoticesOptions) {
        this.#options = options;
    }

    /** Creates a state without notices. */
    static create(options: NewVersionNoticesOptions): NewVersionNotices {
        return new NewVersionNotices(options);
    }

    /** Tells all instances of a version unless a peer does so, and returns whether they know of it. */
    notify(service: string, version: string | null, now: number): boolean {
        const known = this.#find(service, version);
        if (known || now - this.#options.startedAt < this.#options.maxDelayMs) {
            return known?.isKnown ?? false;
        }
        this.#updateMembers(now);
        const notice = this.#add(service, version, new Set(this.#liveAt.keys()), now);
        this.#options.log.write("version-announced", { service, version, instances: notice?.awaited?.size });
        if (notice) {
            this.#send(notice, now);
        }
        return notice?.isKnown ?? false;
    }

    /** Returns what `notify` would, and tells nobody: a new notice is known at once if there is no other instance. */
    mayBeKnown(service: string, version: string | null, now: number): boolean {
        const { startedAt, maxDelayMs, listMembers, instance } = this.#options;
        const known = this.#find(service, version);
        if (known || now - startedAt < maxDelayMs || this.#notices.size >= MAX_NOTICES) {
            return known?.isKnown ?? false;
        }
        const isDue = now >= this.#nextMembersAt;
        const hasLive = isDue && listMembers().some(({ name }) => name !== instance);
        return !hasLive
            && ![...this.#liveAt.values()].some(at => !isDue || now - at <= maxDelayMs + MEMBERS_INTERVAL_MS);
    }

    /** Records that a peer tells all instances of a version, and confirms it. */
    accept(service: string, version: string | null, host: string, now: number): void {
        if (!this.#find(service, version)) {
            this.#add(service, version, undefined, now);
        }
        this.#options.send(["version-confirmed", service, version], host);
    }

    /** Records that an instance has confirmed a notice; after the last one, all are told that streams may begin. */
    recordConfirmed(service: string, version: string | null, host: string): void {
        const notice = this.#find(service, version);
        if (notice?.awaited?.delete(host) && notice.awaited.size === 0) {
            this.#notifyKnown(notice);
        }
    }

    /** Records that a peer has got all confirmations. */
    recordKnown(service: string, version: string | null, now: number): void {
        const notice = this.#find(service, version) ?? this.#add(service, version, undefined, now);
        if (notice) {
            notice.isKnown = true;
        }
    }

    /** Repeats notices that were not confirmed, and forgets old ones. */
    flush(now: number): void {
        this.#updateMembers(now);
        for (const [key, notice] of this.#notices) {
            if (notice.expiresAt <= now) {
                this.#notices.delete(key);
            }
            else if (notice.awaited && notice.repeatAt <= now && notice.repeats < MAX_REPEATS) {
                this.#send(notice, now);
            }
        }
    }

    #send(notice: Notice, now: number): void {
        const { service, version, awaited } = notice;
        notice.repeatAt = now + REPEAT_MS;
        notice.repeats += 1;
        if (notice.isKnown || awaited?.size === 0) {
            this.#notifyKnown(notice);
        }
        else {
            awaited?.forEach(host => this.#options.send(["new-version", service, version], host));
        }
    }

    #notifyKnown(notice: Notice): void {
        const { service, version } = notice;
        if (!notice.isKnown) {
            this.#options.log.write("version-used-at-once", { service, version });
        }
        notice.isKnown = true;
        this.#liveAt.forEach((_, host) => this.#options.send(["version-known", service, version], host));
    }

    #find(service: string, version: string | null): Notice | undefined {
        return this.#notices.get(JSON.stringify([service, version]));
    }

    #add(
        service: string,
        version: string | null,
        awaited: Set<string> | undefined,
        now: number,
    ): Notice | undefined {
        if (this.#notices.size >= MAX_NOTICES) {
            return undefined;
        }
        const notice = {
            service,
            version,
            awaited,
            isKnown: false,
            repeatAt: now,
            repeats: 0,
            expiresAt: now + LIFETIME_MS,
        };
        this.#notices.set(JSON.stringify([service, version]), notice);
        return notice;
    }

    #updateMembers(now: number): void {
        if (now < this.#nextMembersAt) {
            return;
        }
        this.#nextMembersAt = now + MEMBERS_INTERVAL_MS;
        const { listMembers, instance, maxDelayMs } = this.#options;
        listMembers().filter(({ name }) => name !== instance).forEach(({ ip }) => this.#liveAt.set(ip, now));
        this.#liveAt.forEach((at, host) => {
            // A member may have been live until just before the next look.
            if (now - at > maxDelayMs + MEMBERS_INTERVAL_MS) {
                this.#liveAt.delete(host);
            }
        });
    }
}
