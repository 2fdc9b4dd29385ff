import type { MemberRecord } from "../core/routing/memberRecord.js";
import type { RouterConfiguration } from "../core/routing/routerConfiguration.js";
import type { TargetDescriptor } from "../core/routing/targetDescriptor.js";
import type { StreamOrigin } from "../core/streams/streamOrigin.js";
import type { LogSink } from "./logSink.js";
import type { RouterSettings } from "./routerSettings.js";

interface StreamOriginsOptions {
    readonly settings: Pick<RouterSettings, "instance" | "locality" | "maxChangeDelayMs">;
    readonly log: Pick<LogSink, "write">;
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
    /** Lists the live instances, with this one. */
    readonly listMembers: () => readonly MemberRecord[];
    readonly send: (message: unknown, host: string) => void;
}

/** Finds the version at which a stream began that a caller takes up, at this instance or at another one. */
export class StreamOrigins {
    readonly #options: StreamOriginsOptions;

    private constructor(options: StreamOriginsOptions) {
        this.#options = options;
    }

    /** Creates a state that knows no stream. */
    static create(options: StreamOriginsOptions): StreamOrigins {
        return new StreamOrigins(options);
    }

    /** Records the complete list of targets. */
    observeTargets(targets: readonly TargetDescriptor[], now: number): void {
        void targets;
        void now;
    }

    /** Records the configuration in force. */
    observeConfiguration(configuration: RouterConfiguration, now: number): void {
        void configuration;
        void now;
    }

    /** Records when the list of targets was confirmed as the newest, in monotonic milliseconds. */
    recordConfirmation(at: number): void {
        void at;
    }

    /** Returns whether a new stream of a resumable route may begin at a target. */
    mayBegin(target: TargetDescriptor, now: number): boolean {
        void target;
        void now;
        return true;
    }

    /**
     * Records that the first event of a stream of a resumable route is about to be passed on.
     *
     * @param begun The stream's account, the identifier of the caller's attempt, and the target that brought the event.
     */
    recordBegun(
        begun: { readonly account: string; readonly streamId: string; readonly target: TargetDescriptor; },
        now: number,
    ): void {
        void begun;
        void now;
    }

    /**
     * Finds where a stream that a caller takes up began; calls back at once if that is known here.
     *
     * @param query The caller's account, the attempt that brought the stream's first event, and the request's address.
     * @param onFound Gets `undefined` if the origin is not known for certain.
     */
    find(
        query: {
            readonly account: string;
            readonly streamId: string | undefined;
            readonly host: string;
            readonly path: string;
        },
        onFound: (origin: StreamOrigin | undefined) => void,
    ): void {
        void query;
        onFound(undefined);
    }

    /** Handles a datagram of a peer. Returns false if it does not belong to this exchange. */
    receive(message: unknown, senderHost: string): boolean {
        void this.#options;
        void message;
        void senderHost;
        return false;
    }

    /** Sends what is due and answers queries whose time is over. */
    flush(now: number): void {
        void now;
    }
}
