import type { planNextAttempt } from "../core/routing/planNextAttempt.js";
import type { TargetGrant } from "../core/routing/targetGrant.js";
import type { AttemptRunner } from "./attemptRunner.js";
import type { CallerResponse } from "./callerResponse.js";
import type { RequestForwarderOptions } from "./requestForwarderOptions.js";

interface SilenceHandlerOptions extends RequestForwarderOptions {
    readonly attempts: AttemptRunner;
    readonly response: CallerResponse;
    readonly isStream: boolean;
    readonly planNextAttempt: () => ReturnType<typeof planNextAttempt>;
}

/** While the targets of a request are silent, another one is looked for at this interval, which bounds the cost. */
const PICK_INTERVAL_MS = 120;

/**
 * Finds a further target for a request whose targets are all silent, if there is everything that it needs: until then its
 * attempts go on, since a silent target may be sound, also one that accepts no connection. A stream moves to the new target
 * as soon as that begins, because two runs of a stream must not be in progress; any other request gets the response that is
 * complete first. A request that no target has got is sent on the first connection that is there.
 */
export class SilenceHandler {
    readonly #options: SilenceHandlerOptions;
    /** Monotonic time in milliseconds. */
    #nextPickAt = 0;
    #lacking: string | undefined;

    private constructor(options: SilenceHandlerOptions) {
        this.#options = options;
    }

    /** Creates the handler of one request, which may be executed more than once or has not been executed. */
    static create(options: SilenceHandlerOptions): SilenceHandler {
        return new SilenceHandler(options);
    }

    /** What a further attempt lacks while the silent ones are waited for. */
    get lacking(): string | undefined {
        return this.#lacking;
    }

    /** Looks for a further target at the next check, because one of the attempts has failed. */
    reset(): void {
        this.#nextPickAt = 0;
    }

    /** Sends the request to a further target if all its targets are silent and one can be had now. */
    check(now: number): void {
        const { attempts, isStream, retryBudget } = this.#options;
        if (now < this.#nextPickAt) {
            return;
        }
        const reason = attempts.findSilence(now);
        if (reason === undefined) {
            return;
        }
        this.#nextPickAt = now + PICK_INTERVAL_MS;
        const found = this.#findTarget(now);
        if (typeof found === "string") {
            const isLogged = this.#lacking !== undefined;
            this.#lacking = found;
            if (!isLogged) {
                this.#logSilence(reason, "wait");
            }
            return;
        }
        retryBudget.tryTake(now);
        this.#lacking = undefined;
        this.#logSilence(reason, isStream && attempts.executions > 0 ? "move" : "join");
        if (isStream) {
            attempts.pause();
        }
        attempts.send(found);
    }

    /** Returns a target that can be had now, or what is lacking. */
    #findTarget(now: number): TargetGrant | string {
        const { exchange: { request }, scheduler, retryBudget, crashRecord, attempts } = this.#options;
        if (crashRecord.isSuspect(request)) {
            return "crash-suspect";
        }
        const plan = this.#options.planNextAttempt();
        if (plan !== "retry") {
            return plan;
        }
        if (!retryBudget.hasRetry(now)) {
            return "no-retry-budget";
        }
        return scheduler.tryGrant(attempts.request, attempts.listUsedTargets(), now) ?? "no-target";
    }

    /** @param next What happens: the stream moves, another attempt joins the silent ones, or these are waited for. */
    #logSilence(reason: string, next: "move" | "join" | "wait"): void {
        const { exchange: { request }, attempts, log } = this.#options;
        for (const attempt of attempts.running) {
            log.write("attempt-silent", {
                request: request.requestId,
                target: attempt.grant.target.descriptor.id,
                reason,
                silentMs: Math.round(attempt.silentMs),
                next,
                lacking: this.#lacking,
            });
        }
    }
}
