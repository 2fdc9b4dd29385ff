import type { TargetDescriptor } from "./targetDescriptor.js";

type Registration = Pick<TargetDescriptor, "id" | "startedAtMs" | "sequence">;

interface StartState extends Registration {
    /** Start that the process itself has named, if it is not the registered one, in Unix milliseconds. */
    readonly namedStartMs: number | undefined;
    /** True if the process has answered without naming its start. */
    readonly isUnnamed: boolean;
    /** Monotonic time in milliseconds at which a connection last broke or was refused. */
    readonly brokenAt: number | undefined;
}

interface TargetStartsOptions {
    /** Called when a target is found to have started again without a registration of that start. */
    readonly onRestarted: (target: Registration, namedStartMs: number) => void;
    /** Called when a target is found not to name its start, or to have registered without one. */
    readonly onUnnamed: (target: Registration) => void;
}

/** The platform removes a target that crashed after three silent intervals of 1.2 s, which is read within 1.3 s. */
const REGISTRATION_MS = 6000;
/** Limit of targets with a state; far more than fail while their registrations are listed. */
const MAX_TARGETS = 2000;

/**
 * Which targets may have started again under their identifier, perhaps with another version of their software, while the
 * list still shows the start before. Times are monotonic milliseconds unless they are starts of targets.
 */
export class TargetStarts {
    readonly #options: TargetStartsOptions;
    /** By target, the oldest first. */
    readonly #states = new Map<string, StartState>();
    #confirmedAt = Number.NEGATIVE_INFINITY;

    private constructor(options: TargetStartsOptions) {
        this.#options = options;
    }

    /** Creates a state in which every target runs as it is registered. */
    static create(options: TargetStartsOptions): TargetStarts {
        return new TargetStarts(options);
    }

    /** Records that a connection to a target broke, or was refused. */
    recordBreak(target: Registration, now: number): void {
        this.#set(target, { brokenAt: now });
    }

    /**
     * Records what a process has said of itself on the connection on which a request is about to be sent.
     *
     * @param namedStartMs Start of the process in Unix milliseconds; `undefined` if it names none.
     *
     * @returns `registered` if the process is the registered one, `restarted` if it is not, and `unknown` if that can only be
     * told by the connections that have broken.
     */
    recordAnswer(
        target: Registration,
        namedStartMs: number | undefined,
    ): "registered" | "restarted" | "unknown" {
        if (namedStartMs === undefined || target.startedAtMs === 0) {
            if (!this.#find(target)?.isUnnamed) {
                this.#options.onUnnamed(target);
            }
            this.#set(target, { isUnnamed: true });
            return "unknown";
        }
        if (namedStartMs === target.startedAtMs) {
            this.#states.delete(target.id);
            return "registered";
        }
        if (this.#find(target)?.namedStartMs !== namedStartMs) {
            this.#options.onRestarted(target, namedStartMs);
        }
        this.#set(target, { namedStartMs });
        return "restarted";
    }

    /** Returns whether a target is known to have started again since its registration. */
    isRestarted(target: Registration): boolean {
        return this.#find(target)?.namedStartMs !== undefined;
    }

    /** Returns whether a connection to a target has broken since its registration may have been made. */
    hasBroken(target: Registration): boolean {
        return this.#find(target)?.brokenAt !== undefined;
    }

    /** Returns whether a stream that another process of the target's version began may go on there. */
    mayGoOn(target: Registration): boolean {
        const state = this.#find(target);
        return state?.namedStartMs === undefined && !(state?.isUnnamed && state.brokenAt !== undefined);
    }

    /** Records the complete list of targets. A registration that is new was made after the list was last confirmed. */
    observeTargets(targets: readonly Registration[]): void {
        if (this.#states.size === 0) {
            return;
        }
        const listed = new Map(targets.map(target => [target.id, target]));
        for (const [id, state] of this.#states) {
            const target = listed.get(id);
            if (!target || target.startedAtMs === state.namedStartMs) {
                this.#states.delete(id);
                continue;
            }
            if (target.startedAtMs === state.startedAtMs && target.sequence === state.sequence) {
                continue;
            }
            const isNewer = state.brokenAt !== undefined && this.#confirmedAt >= state.brokenAt;
            const { startedAtMs, sequence } = target;
            const isSameStart = startedAtMs === state.startedAtMs;
            this.#states.set(id, {
                ...state,
                startedAtMs,
                sequence,
                namedStartMs: isSameStart ? state.namedStartMs : undefined,
                brokenAt: isNewer ? undefined : state.brokenAt,
            });
        }
    }

    /** Records that the list was the newest at a time: a target that has started again before has registered by then. */
    recordConfirmation(at: number): void {
        this.#confirmedAt = Math.max(this.#confirmedAt, at);
        for (const [id, state] of this.#states) {
            if (state.brokenAt !== undefined && state.brokenAt + REGISTRATION_MS <= at) {
                this.#states.set(id, { ...state, brokenAt: undefined });
            }
        }
    }

    #find({ id, startedAtMs }: Registration): StartState | undefined {
        const state = this.#states.get(id);
        return state?.startedAtMs === startedAtMs ? state : undefined;
    }

    #set(target: Registration, change: Partial<StartState>): void {
        const { id, startedAtMs, sequence } = target;
        const known = this.#find(target);
        this.#states.delete(id);
        this.#states.set(id, {
            id,
            startedAtMs,
            sequence,
            namedStartMs: undefined,
            isUnnamed: false,
            brokenAt: undefined,
            ...known,
            ...change,
        });
        const [oldest] = this.#states.keys();
        if (this.#states.size > MAX_TARGETS && oldest !== undefined) {
            this.#states.delete(oldest);
        }
    }
}
