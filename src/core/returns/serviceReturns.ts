import { limitRetryAfter } from "../routing/limitRetryAfter.js";
import type { RoutedRequest } from "../routing/routedRequest.js";
import type { SchedulerDecision } from "../routing/schedulerDecision.js";
import type { SchedulerRefusal } from "../routing/schedulerRefusal.js";
import type { WaitingRequest } from "../routing/waitingRequest.js";
import { CallerPatience } from "./callerPatience.js";
import { ReturnCalendar } from "./returnCalendar.js";

/** Times in milliseconds that decide when a refused request comes again. */
interface ReturnTimes {
    /** Time before which its account gets no capacity. */
    readonly earliestMs: number;
    /** Time after which it may be served, as far as can be told without promises. */
    readonly estimatedMs: number;
    /** Time that a target takes to read the prompt. */
    readonly readingMs: number;
}

/** Requests of a service, and of one of its accounts, that wait after they have returned. */
const MAX_RETURNED = 500;
const MAX_RETURNED_OF_ACCOUNT = 250;
/** Time in milliseconds that an idle target takes to begin its response. */
const MIN_START_MS = 40;
/** Without a grant for this long, as many as an instance has in a few seconds, another instance may be better. */
const MAX_DRY_MS = 2000;

/**
 * Requests of one service that were refused for want of capacity and have come again. They wait until their deadline, in place
 * of being refused again: before the new requests of their account if they claim a promise that is due or if their deadline is
 * near, and after them otherwise, since new requests may still be on time. Times are monotonic milliseconds.
 */
export class ServiceReturns {
    readonly #isActive: () => boolean;
    readonly #patience = CallerPatience.create();
    readonly #calendar = ReturnCalendar.create();
    /** Waiting requests that have returned, and whether they have claimed a promise. */
    readonly #returned = new Map<WaitingRequest, boolean>();
    readonly #countsByAccount = new Map<string, number>();
    #claimed = 0;
    /** Time of the last grant to any request. */
    #grantedAt = Number.NEGATIVE_INFINITY;
    #keptTotal = 0;
    #brokenTotal = 0;

    private constructor(isActive: () => boolean) {
        this.#isActive = isActive;
    }

    /**
     * Creates the record of a service to which no request has returned.
     *
     * @param isActive Returns whether refused requests of the service are promised capacity; nothing changes while they are not.
     */
    static create(isActive: () => boolean): ServiceReturns {
        return new ServiceReturns(isActive);
    }

    /** Whether the service uses reservations now. */
    get isActive(): boolean {
        return this.#isActive();
    }

    /** Counts promises that are open or claimed, that ended with a grant, and that ended without one. */
    countPromises(now: number): { readonly open: number; readonly kept: number; readonly lapsed: number; } {
        const open = this.#calendar.countOpen(now) + this.#claimed;
        return { open, kept: this.#keptTotal, lapsed: this.#calendar.lapsedTotal + this.#brokenTotal };
    }

    /**
     * Plans when a request that is refused for want of capacity comes again, and promises capacity for that time if it can.
     *
     * @param isExplained True if the request does not exist, so that nothing is promised or counted.
     */
    planReturn(
        request: RoutedRequest,
        { earliestMs, estimatedMs, readingMs }: ReturnTimes,
        now: number,
        isExplained = false,
    ): Pick<SchedulerRefusal, "retryAfterMs" | "isPromised"> {
        let promisedMs: number | undefined;
        if (this.#isActive() && isExplained) {
            promisedMs = this.#calendar.estimate(request, earliestMs, readingMs, now);
        }
        else if (this.#isActive()) {
            this.#patience.addRefusal(now);
            promisedMs = this.#calendar.reserve(request, earliestMs, readingMs, now);
        }
        return promisedMs === undefined
            ? { retryAfterMs: limitRetryAfter(estimatedMs, request.requestId) }
            : { retryAfterMs: promisedMs, isPromised: true };
    }

    /** Returns whether a request has come again and may wait, whatever its account has used. */
    mayWait(request: RoutedRequest, now: number): boolean {
        return this.#isActive() && this.#patience.isReturning(request, now) && this.#hasRoom(request);
    }

    /** Adds a request that begins to wait, if it has come again. */
    add(waiting: WaitingRequest, now: number): void {
        const { request, isResume } = waiting;
        if (isResume || request.origin || !this.#isActive()) {
            return;
        }
        this.#patience.record(request, now);
        if (!this.mayWait(request, now)) {
            return;
        }
        const promise = this.#calendar.findDue(request, now);
        if (promise) {
            this.#calendar.remove(promise);
            this.#claimed += 1;
        }
        this.#returned.set(waiting, promise !== undefined);
        this.#countsByAccount.set(request.account, this.#countOf(request) + 1);
    }

    /** Returns whether a waiting request has come again. */
    has(waiting: WaitingRequest): boolean {
        return this.#returned.has(waiting);
    }

    /** Returns whether a waiting request has claimed a promise, so that what its account has used does not count. */
    hasClaim(waiting: WaitingRequest): boolean {
        return this.#returned.get(waiting) === true;
    }

    /** Returns the rank of a waiting request among those of its account: 0 for a new one; the highest goes first. */
    getRank(waiting: WaitingRequest, now: number): number {
        const hasClaim = this.#returned.get(waiting);
        if (hasClaim === undefined) {
            return 0;
        }
        const { deadline, route } = waiting.request;
        return hasClaim || deadline - now <= route.objectiveMs ? 1 : -1;
    }

    /**
     * Returns the time until which a request that has come again waits; `undefined` for a new one. It waits no longer than a new
     * one if no capacity becomes available here.
     *
     * @param readingMs Time in milliseconds that a target takes to read the prompt.
     */
    findWaitDeadline(waiting: WaitingRequest, readingMs: number): number | undefined {
        if (!this.has(waiting)) {
            return undefined;
        }
        const { deadline, objectiveDeadline } = waiting.request;
        return Math.min(deadline, Math.max(objectiveDeadline, this.#grantedAt + MAX_DRY_MS))
            - MIN_START_MS - readingMs;
    }

    /** Records a decision on a request: a grant shows the capacity that there is. */
    recordDecision(waiting: WaitingRequest, { kind }: SchedulerDecision, now: number): void {
        if (kind === "granted" && this.#isActive()) {
            this.#grantedAt = now;
            this.#calendar.recordGrant(waiting.request, now);
        }
        if (kind !== "waiting") {
            this.#end(waiting, kind === "granted");
        }
    }

    /** Removes a request whose caller has disconnected. */
    withdraw(waiting: WaitingRequest): void {
        this.#end(waiting, false);
    }

    #end(waiting: WaitingRequest, isGranted: boolean): void {
        const hasClaim = this.#returned.get(waiting);
        if (hasClaim === undefined) {
            return;
        }
        this.#returned.delete(waiting);
        const { request } = waiting;
        const count = this.#countOf(request) - 1;
        if (count > 0) {
            this.#countsByAccount.set(request.account, count);
        }
        else {
            this.#countsByAccount.delete(request.account);
        }
        this.#claimed -= Number(hasClaim);
        this.#keptTotal += Number(hasClaim && isGranted);
        this.#brokenTotal += Number(hasClaim && !isGranted);
    }

    #hasRoom(request: RoutedRequest): boolean {
        return this.#returned.size < MAX_RETURNED && this.#countOf(request) < MAX_RETURNED_OF_ACCOUNT;
    }

    #countOf({ account }: RoutedRequest): number {
        return this.#countsByAccount.get(account) ?? 0;
    }
}
