import { countRequestTokens } from "../routing/countRequestTokens.js";
import type { RoutedRequest } from "../routing/routedRequest.js";
import { GrantRates } from "./grantRates.js";
import type { ReturnPromise } from "./returnPromise.js";

/** When promised capacity is due, and until when the capacity of the service and of the account is promised with it. */
interface ReturnPlan {
    readonly dueAt: number;
    readonly bookedUntil: number;
    readonly accountBookedUntil: number;
}

const MS_PER_SECOND = 1000;
/**
 * Share of the granted rate that is promised. A request that returns is late, and takes the place of a new one that would not
 * be: with half of the rate, a tenth fewer requests were on time.
 */
const PROMISED_SHARE = 0.25;
/** Share of the time left that callers wait before they come again, whatever they are told. */
const WAIT_SHARE = 1 / 3;
const MIN_WAIT_MS = 50;
/** `Retry-After` is rounded to 10 ms, and timers of callers may be early. */
const EARLY_MS = 20;
/** Share of its objective for which a promise is kept open after its time. */
const OPEN_OBJECTIVE_SHARE = 0.5;
/** Open promises of one service. */
const MAX_PROMISES = 500;

/**
 * Promises of one service to requests that were refused for want of capacity: each comes again when capacity is expected
 * that is promised to no other one. Amounts are in tokens; times are monotonic milliseconds.
 *
 * @remarks Virtual scheduling (ITU-T I.371, generic cell rate algorithm) of the service and of each client account.
 */
export class ReturnCalendar {
    readonly #rates = GrantRates.create();
    #promises: ReturnPromise[] = [];
    /** Time until which the capacity of the service, and of each account with promises, is promised. */
    #bookedUntil = 0;
    readonly #accountsBookedUntil = new Map<string, number>();
    #lapsedTotal = 0;
    #nextExpiryAt = Number.POSITIVE_INFINITY;

    /** Creates a calendar without promises. */
    static create(): ReturnCalendar {
        return new ReturnCalendar();
    }

    /** Number of promises that no request has claimed in time. */
    get lapsedTotal(): number {
        return this.#lapsedTotal;
    }

    /** Counts the open promises. */
    countOpen(now: number): number {
        this.#expire(now);
        return this.#promises.length;
    }

    /** Records a grant, which shows the capacity that there is. */
    recordGrant(request: RoutedRequest, now: number): void {
        this.#rates.add(request.account, countRequestTokens(request), now);
    }

    /**
     * Promises capacity to a refused request and returns in how many milliseconds it is due; `undefined` if none is expected
     * within what its caller waits.
     *
     * @param earliestMs Time in milliseconds before which the account gets no capacity.
     * @param readingMs Time in milliseconds that a target takes to read the prompt.
     */
    reserve(request: RoutedRequest, earliestMs: number, readingMs: number, now: number): number | undefined {
        this.#expire(now);
        const plan = this.#plan(request, earliestMs, readingMs, now);
        if (!plan) {
            return undefined;
        }
        const { account, route, deadline } = request;
        const { dueAt, bookedUntil, accountBookedUntil } = plan;
        this.#bookedUntil = bookedUntil;
        this.#accountsBookedUntil.set(account, accountBookedUntil);
        const until = dueAt + route.objectiveMs * OPEN_OBJECTIVE_SHARE;
        this.#promises.push({ account, route: route.name, deadline, dueAt, until });
        this.#nextExpiryAt = Math.min(this.#nextExpiryAt, until);
        return dueAt - now;
    }

    /** Returns what `reserve` would, without a promise. */
    estimate(request: RoutedRequest, earliestMs: number, readingMs: number, now: number): number | undefined {
        const plan = this.#plan(request, earliestMs, readingMs, now);
        return plan && plan.dueAt - now;
    }

    #plan(
        request: RoutedRequest,
        earliestMs: number,
        readingMs: number,
        now: number,
    ): ReturnPlan | undefined {
        const { account, deadline } = request;
        const tokens = Math.max(1, countRequestTokens(request));
        const bookedUntil = computeBooking(this.#bookedUntil, tokens, this.#rates.getTotal(now), now);
        const accountBookedUntil = computeBooking(
            this.#accountsBookedUntil.get(account) ?? 0,
            tokens,
            this.#rates.getExpected(account, now),
            now,
        );
        const dueAt = Math.max(bookedUntil, accountBookedUntil, now + earliestMs, now + MIN_WAIT_MS);
        const isUseful = dueAt - now <= (deadline - now) * WAIT_SHARE && dueAt + readingMs < deadline;
        const isFull = this.#promises.filter(({ until }) => now <= until).length >= MAX_PROMISES;
        return isUseful && !isFull ? { dueAt, bookedUntil, accountBookedUntil } : undefined;
    }

    /** Finds the due promise of the account and route of a request that comes again, made for the nearest deadline. */
    findDue({ account, route, deadline }: RoutedRequest, now: number): ReturnPromise | undefined {
        let nearest: ReturnPromise | undefined;
        for (const promise of this.#promises) {
            const isDue = promise.dueAt - EARLY_MS <= now && now <= promise.until;
            if (!isDue || promise.account !== account || promise.route !== route.name) {
                continue;
            }
            if (!nearest || Math.abs(promise.deadline - deadline) < Math.abs(nearest.deadline - deadline)) {
                nearest = promise;
            }
        }
        return nearest;
    }

    /** Removes a promise that a request has claimed. */
    remove(promise: ReturnPromise): void {
        this.#promises = this.#promises.filter(other => other !== promise);
    }

    #expire(now: number): void {
        if (now <= this.#nextExpiryAt) {
            return;
        }
        const open = this.#promises.filter(({ until }) => now <= until);
        this.#lapsedTotal += this.#promises.length - open.length;
        this.#promises = open;
        this.#nextExpiryAt = Math.min(...open.map(({ until }) => until));
        for (const [account, until] of this.#accountsBookedUntil) {
            if (until <= now) {
                this.#accountsBookedUntil.delete(account);
            }
        }
    }
}

function computeBooking(bookedUntil: number, tokens: number, tokensPerSecond: number, now: number): number {
    return Math.max(bookedUntil, now) + tokens / (tokensPerSecond * PROMISED_SHARE) * MS_PER_SECOND;
}
