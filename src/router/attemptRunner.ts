import type { RoutedRequest } from "../core/routing/routedRequest.js";
import type { TargetDescriptor } from "../core/routing/targetDescriptor.js";
import type { TargetGrant } from "../core/routing/targetGrant.js";
import type { CallerResponse } from "./callerResponse.js";
import type { FailureKind } from "./failureKind.js";
import { ForwardAttempt } from "./forwardAttempt.js";
import type { RequestForwarderOptions } from "./requestForwarderOptions.js";
import type { ResponseHead } from "./responseHead.js";
import { RunVersion } from "./runVersion.js";
import type { SuspendedAttempt } from "./suspendedAttempt.js";

interface AttemptRunnerOptions extends RequestForwarderOptions {
    readonly response: CallerResponse;
    readonly isRepeatable: boolean;
    /** Runs a handler; an unexpected error in it ends the request. */
    readonly runGuarded: (handler: () => void) => void;
    /** Called for attempts in progress only. */
    readonly onComplete: (attempt: ForwardAttempt, head: ResponseHead) => void;
    readonly onFail: (attempt: ForwardAttempt, kind: FailureKind, reason: string) => void;
}

/** The platform allows two runs of a stream for 400 ms; the rest is for late timers and the way to the target. */
const SUSPENDED_MS = 250;

/** Attempts of one request: those in progress with their grants, and what those before have left behind. */
export class AttemptRunner {
    readonly #options: AttemptRunnerOptions;
    /** Attempts in progress, with the silence that was recorded as a failure of their targets. */
    readonly #running = new Map<ForwardAttempt, string | undefined>();
    readonly #failedTargets = new Set<string>();
    /** Attempts that a target may have executed, and all attempts. */
    #executions = 0;
    #attempts = 0;
    #last: ForwardAttempt | undefined;
    /** Run of a silent target, which goes on if the one that was sent in its place does not begin. */
    #suspended: SuspendedAttempt | undefined;
    readonly #version: RunVersion;

    private constructor(options: AttemptRunnerOptions) {
        this.#options = options;
        this.#version = RunVersion.create(options.exchange.request);
    }

    /** Creates a runner without attempts. */
    static create(options: AttemptRunnerOptions): AttemptRunner {
        return new AttemptRunner(options);
    }

    /** Attempts in progress. */
    get running(): readonly ForwardAttempt[] {
        return [...this.#running.keys()];
    }

    /** The request; once a target may have run a stream, with the version that it has to keep to, if that is certain. */
    get request(): RoutedRequest {
        const { request, hasBegun } = this.#version;
        const { requestId, account, streamId = requestId, origin } = request;
        const isDoubtful = hasBegun && !this.#options.streamOrigins.isKnown({ account, streamId });
        return origin && isDoubtful
            ? { ...request, origin: { service: origin.service, version: undefined } }
            : request;
    }

    /** True if another attempt goes on if this one fails. */
    get hasOthers(): boolean {
        return this.#running.size > 1 || this.#suspended !== undefined;
    }

    /** Identifiers of the targets that have failed the request and are not tried again. */
    get failedTargets(): ReadonlySet<string> {
        return this.#failedTargets;
    }

    /** Identifiers of these and of the targets that are serving the request, also in a run that was set aside. */
    listUsedTargets(): ReadonlySet<string> {
        const serving = this.#listOpen().map(({ grant }) => grant.target.descriptor.id);
        return new Set([...this.#failedTargets, ...serving]);
    }

    /** Number of attempts that a target may have executed. */
    get executions(): number {
        return this.#executions;
    }

    /** Number of all attempts. */
    get attempts(): number {
        return this.#attempts;
    }

    /** Attempt that was sent last, for the log. */
    get last(): ForwardAttempt | undefined {
        return this.#last;
    }

    /** Sends the request to a target. */
    send(grant: TargetGrant): void {
        const { exchange, targetAgents, scheduler, isRepeatable, getNow, onComplete, onFail } = this.#options;
        const { descriptor } = grant.target;
        this.#attempts += 1;
        const attempt: ForwardAttempt = ForwardAttempt.create({
            ...this.#options,
            grant,
            caller: exchange,
            // At most one of several pending connections is used, so that this attempt is at most the next execution.
            agent: targetAgents.getAgent(
                isRepeatable && this.#executions + 1 < exchange.request.route.maxAttempts,
            ),
            watchesTarget: scheduler.speeds.isActive,
            isListed: () =>
                scheduler.targets.get(descriptor.id) === grant.target && !grant.target.descriptor.isDraining,
            onWritten: () => this.#onWritten(descriptor),
            onProgress: () => this.#resume(attempt),
            onFirstEvent: () => {
                this.#dropSuspended();
                scheduler.start(grant, getNow());
                this.#recordOrigin(descriptor);
            },
            onPassed: () => {
                this.#dropSuspended();
                this.running.filter(other => other !== attempt).forEach(other => this.#withdraw(other));
            },
            onComplete: head => {
                if (this.#running.has(attempt)) {
                    onComplete(attempt, head);
                }
            },
            onFail: (kind, reason) => {
                if (this.#running.has(attempt)) {
                    onFail(attempt, kind, reason);
                }
                else if (this.#suspended?.attempt === attempt) {
                    this.#dropSuspended();
                }
            },
        });
        this.#running.set(attempt, undefined);
        this.#last = attempt;
        attempt.send();
    }

    /**
     * Returns why the request may need a further target: all its attempts in progress are silent. A silent target counts as
     * failing, so that it is picked last until it has answered, while the attempt goes on.
     */
    findSilence(now: number): string | undefined {
        let latest: string | undefined;
        for (const [attempt, recorded] of this.#running) {
            const reason = attempt.findInactivity();
            if (reason === undefined) {
                return undefined;
            }
            if (recorded === undefined) {
                this.#running.set(attempt, reason);
                attempt.grant.target.recordResult(false, now);
            }
            latest = reason;
        }
        return latest;
    }

    /** Sets the silent run of a stream aside while another one is sent. */
    pause(): void {
        const attempt = this.running.find(({ isWritten }) => isWritten);
        if (attempt) {
            this.#dropSuspended();
            this.#running.delete(attempt);
            this.#suspended = { attempt, run: this.#options.response.pauseRun(), until: Infinity };
        }
    }

    /** Gives a run that was set aside up for the one in its place, once the time for two runs is over. */
    checkSuspended(now: number): void {
        if (this.#suspended && this.#suspended.until <= now) {
            this.#dropSuspended();
        }
    }

    /** Ends an attempt whose response is complete. */
    finish(attempt: ForwardAttempt, isSuccess: boolean): void {
        const { target } = attempt.grant;
        target.recordResult(isSuccess, this.#options.getNow());
        if (isSuccess && attempt.hasEvents) {
            target.recordPause(attempt.longestPauseMs);
        }
        else if (isSuccess && attempt.longestSilenceMs !== undefined) {
            target.recordResponseTime(attempt.longestSilenceMs);
        }
        this.#release(attempt, isSuccess);
    }

    /** Ends an attempt that has failed; its target is not tried again. */
    fail(attempt: ForwardAttempt, kind: FailureKind): void {
        const { target } = attempt.grant;
        this.#failedTargets.add(target.descriptor.id);
        if (kind === "refused" && attempt.isWritten) {
            this.#executions -= 1;
            this.#version.recordRefused(this.#executions);
        }
        const hasRefused = kind === "refused" || kind === "doubtful";
        if (hasRefused || this.#running.get(attempt) === undefined) {
            target.recordResult(hasRefused, this.#options.getNow());
        }
        this.#release(attempt);
        if (this.#suspended && this.#running.size === 0) {
            this.#recoverSuspended(this.#suspended);
        }
    }

    /** Stops the attempts in progress without a word on their targets. Returns them. */
    abort(): readonly ForwardAttempt[] {
        const open = this.#listOpen();
        this.#suspended = undefined;
        open.forEach(attempt => this.#withdraw(attempt));
        return open;
    }

    /** Lists the attempts in progress and the one that was set aside. */
    #listOpen(): readonly ForwardAttempt[] {
        return [...this.running, ...this.#suspended ? [this.#suspended.attempt] : []];
    }

    /** Of several connections that are being made, the first one that is there is used. */
    #onWritten(target: TargetDescriptor): void {
        this.#executions += 1;
        this.#version.recordWritten(target);
        this.running.filter(other => !other.isWritten).forEach(other => this.#withdraw(other));
        if (this.#suspended) {
            this.#suspended = { ...this.#suspended, until: this.#options.getNow() + SUSPENDED_MS };
        }
    }

    #withdraw(attempt: ForwardAttempt): void {
        attempt.abort();
        this.#release(attempt);
    }

    /** Goes on with a run that was set aside and makes progress, in place of the one that has not begun. */
    #resume(attempt: ForwardAttempt): void {
        if (this.#suspended?.attempt === attempt) {
            this.running.forEach(other => this.#withdraw(other));
            this.#recoverSuspended(this.#suspended);
        }
    }

    #recoverSuspended({ attempt, run }: SuspendedAttempt): void {
        this.#suspended = undefined;
        this.#options.response.resumeRun(run);
        this.#running.set(attempt, "silent");
    }

    #dropSuspended(): void {
        const attempt = this.#suspended?.attempt;
        this.#suspended = undefined;
        if (attempt) {
            attempt.abort();
            this.#running.set(attempt, "silent");
            this.fail(attempt, attempt.isWritten ? "broken" : "not-written");
        }
    }

    #recordOrigin(target: TargetDescriptor): void {
        const { exchange: { head, incoming }, streamOrigins, getNow } = this.#options;
        const { requestId, account, streamId = requestId } = this.#version.request;
        this.#version.recordBegun(target);
        if (this.#version.hasBegun) {
            const { host } = head;
            const path = incoming.url ?? "/";
            streamOrigins.recordBegun({ account, streamId, host, path, target }, getNow());
        }
    }

    #release(attempt: ForwardAttempt, isComplete = false): void {
        const { scheduler, exchange, spill, getNow } = this.#options;
        this.#running.delete(attempt);
        spill?.recordAttempt(exchange.request, attempt, isComplete);
        scheduler.release(attempt.grant, attempt.hasEvents, getNow());
    }
}
