import type { LogSink } from "./logSink.js";
import type { OriginMessage } from "./originMessage.js";

interface NewVersionNoticesOptions {
    readonly log: Pick<LogSink, "write">;
    /** Sends a message to all other instances. */
    readonly sendAll: (message: OriginMessage) => void;
}

interface Notice {
    readonly message: OriginMessage;
    readonly heard: number;
    readonly sent: number;
    /** Monotonic time in milliseconds from which all instances in touch know of the version. */
    readonly knownAt: number;
    /** Monotonic time in milliseconds after which the notice is forgotten. */
    readonly expiresAt: number;
}

/** Way of a notice to the farthest instance, its repeat included. */
const DELIVERY_MS = 100;
/** A lost notice is made up for by the repeat. */
const REPEATS = 2;
const LIFETIME_MS = 30_000;

/** Notices to all instances about versions whose streams begin without the usual delay. Times are monotonic milliseconds. */
export class NewVersionNotices {
    readonly #options: NewVersionNoticesOptions;
    readonly #notices = new Map<string, Notice>();

    private constructor(options: NewVersionNoticesOptions) {
        this.#options = options;
    }

    /** Creates a state without notices. */
    static create(options: NewVersionNoticesOptions): NewVersionNotices {
        return new NewVersionNotices(options);
    }

    /** Tells all instances of a version unless peers have done so, and returns whether those in touch know of it now. */
    notify(service: string, version: string | undefined, now: number): boolean {
        const notice = this.#find(service, version, now);
        if (notice.sent === 0 && notice.heard < REPEATS) {
            this.#options.log.write("version-used-at-once", { service, version });
            this.#send(JSON.stringify([service, version]), notice);
        }
        return notice.knownAt <= now;
    }

    /** Records that a peer has told all instances of a version. */
    record(service: string, version: string | undefined, now: number): void {
        const notice = this.#find(service, version, now);
        this.#notices.set(JSON.stringify([service, version]), { ...notice, heard: notice.heard + 1 });
    }

    /** Repeats the notices that were sent once, and forgets old ones. */
    flush(now: number): void {
        for (const [key, notice] of this.#notices) {
            if (notice.expiresAt <= now) {
                this.#notices.delete(key);
            }
            else if (notice.sent > 0 && notice.sent < REPEATS) {
                this.#send(key, notice);
            }
        }
    }

    #find(service: string, version: string | undefined, now: number): Notice {
        return this.#notices.get(JSON.stringify([service, version])) ?? {
            message: ["new-version", service, version ?? null],
            heard: 0,
            sent: 0,
            knownAt: now + DELIVERY_MS,
            expiresAt: now + LIFETIME_MS,
        };
    }

    #send(key: string, notice: Notice): void {
        this.#options.sendAll(notice.message);
        this.#notices.set(key, { ...notice, sent: notice.sent + 1 });
    }
}
