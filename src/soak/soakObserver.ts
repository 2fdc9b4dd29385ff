import { countMostWithin } from "../testing/countMostWithin.js";
import type { CooperativeFleet } from "../testing/platform/cooperativeFleet.js";
import type { sendCaller } from "../testing/sendCaller.js";

type CallerResult = Awaited<ReturnType<typeof sendCaller>>;

interface ObservedRequest {
    readonly requestId: string;
    readonly route: "stream" | "once" | "safe" | "unsafe";
    /** Monotonic times in milliseconds. */
    readonly sentAt: number;
    readonly endedAt: number;
}

const EVENT_PATTERN = /^id: (\d+)\ndata: (\S+) (\d+)$/;
/** Number of events in each stream of `CooperativeFleet`. */
const EVENTS_PER_STREAM = 12;
const LIMIT_SETTLE_MS = 4000;
const CONTACT_MS = 4000;
const MAX_LATE_RUNS = 3;
const LIMIT_WINDOW_MS = 4000;
/** Statuses that tell the caller that the request was not run. */
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];

/** Checks the guarantees to callers and targets against what both observed. */
export class SoakObserver {
    readonly #violations: string[] = [];
    readonly #refused = new Set<string>();
    readonly #nonRepeatable = new Set<string>();
    /** Requests that carried an API key, by request identifier. */
    readonly #withKey = new Map<string, ObservedRequest>();
    readonly #denied: (ObservedRequest & { readonly status: number; })[] = [];
    #served = 0;
    #sent = 0;

    /** Creates an observer that has seen nothing. */
    static create(): SoakObserver {
        return new SoakObserver();
    }

    get violations(): readonly string[] {
        return this.#violations;
    }

    get served(): number {
        return this.#served;
    }

    get sent(): number {
        return this.#sent;
    }

    /** Records a request and the result that its caller got. */
    record(request: ObservedRequest, result: CallerResult): void {
        const { requestId, route } = request;
        this.#sent += 1;
        if (route === "stream" || route === "once") {
            this.#withKey.set(requestId, request);
        }
        if (route === "unsafe" || route === "once") {
            this.#nonRepeatable.add(requestId);
            if (NOT_RUN_STATUSES.includes(result.status)) {
                this.#refused.add(requestId);
            }
        }
        if (result.status === 200 && result.isWhole) {
            this.#served += 1;
            this.#checkResponse(requestId, route, result);
        }
        if (result.status === 401 || result.status === 404) {
            this.#denied.push({ ...request, status: result.status });
        }
    }

    /** Compares the requests that targets ran with the responses that callers got. */
    checkTargets(fleet: CooperativeFleet): void {
        const runs = new Map<string, number>();
        for (const { requestId } of fleet.targets.flatMap(({ target }) => target.arrivals)) {
            runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
        }
        for (const requestId of this.#nonRepeatable) {
            const count = runs.get(requestId) ?? 0;
            if (count > 1) {
                this.#violations.push(`${requestId}: ran ${count} times though it must run once`);
            }
            if (count > 0 && this.#refused.has(requestId)) {
                this.#violations.push(`${requestId}: ran though its refusal says that it did not`);
            }
        }
        this.#checkKeys(fleet, new Set(runs.keys()));
        this.#checkLimits(fleet);
        this.#checkCrashes(fleet);
    }

    /** Four seconds after its third crash, a request may reach targets three times, and once for each later start. */
    #checkCrashes({ crashes, targets, instanceStarts }: CooperativeFleet): void {
        const arrivals = targets.flatMap(({ target }) => target.arrivals);
        for (const body of new Set(crashes.map(crash => crash.body).filter(Boolean))) {
            const third = crashes.filter(crash => crash.body === body)[2];
            const boundFrom = (third?.at ?? Number.POSITIVE_INFINITY) + CONTACT_MS;
            const late = arrivals.filter(arrival => arrival.body === body && arrival.at > boundFrom).length;
            const allowed = MAX_LATE_RUNS + instanceStarts.filter(at => at > boundFrom - CONTACT_MS).length;
            if (late > allowed) {
                this.#violations.push(`${body}: reached targets ${late} times more, ${allowed} allowed`);
            }
        }
    }

    /** From four seconds after it was named, the platform tolerates one and a half times a limit and five requests. */
    #checkLimits({ limitedPeriods }: CooperativeFleet): void {
        for (const { target, perSecond, from, until } of limitedPeriods) {
            const times = target.arrivals.map(({ at }) => at)
                .filter(at => at >= from + LIMIT_SETTLE_MS && at < until);
            const allowed = 1.5 * perSecond * LIMIT_WINDOW_MS / 1000 + 5;
            const most = countMostWithin(times, LIMIT_WINDOW_MS);
            if (most > allowed) {
                this.#violations.push(`${target.id}: got ${most} requests in 4 s, ${allowed} allowed`);
            }
        }
    }

    /** A revoked key may be accepted for `revocationMs`, and a restored key may be denied for as long. */
    #checkKeys({ revocations, revocationMs }: CooperativeFleet, ran: ReadonlySet<string>): void {
        for (const { requestId, sentAt, endedAt } of this.#withKey.values()) {
            const isRevoked = revocations.some(({ from, until }) =>
                sentAt > from + revocationMs && endedAt < until
            );
            if (isRevoked && ran.has(requestId)) {
                this.#violations.push(`${requestId}: ran with a revoked key`);
            }
        }
        for (const { requestId, sentAt, endedAt, status } of this.#denied) {
            const isAllowed = status === 401 && this.#withKey.has(requestId)
                && revocations.some(({ from, until }) => endedAt > from && sentAt < until + revocationMs);
            if (!isAllowed) {
                this.#violations.push(`${requestId}: denied with ${status} though it is allowed`);
            }
        }
    }

    #checkResponse(requestId: string, route: ObservedRequest["route"], result: CallerResult): void {
        if (route === "safe" || route === "unsafe") {
            if (result.body !== `answer to ${requestId}`) {
                this.#violations.push(`${requestId}: got "${result.body}"`);
            }
            return;
        }
        const events = result.body.split("\n\n").slice(0, -1);
        events.forEach((event, i) => {
            const [, id, owner] = EVENT_PATTERN.exec(event) ?? [];
            if (Number(id) !== i + 1 || owner !== requestId) {
                this.#violations.push(`${requestId}: event ${i + 1} is "${event.replaceAll("\n", " ")}"`);
            }
        });
        if (events.length !== EVENTS_PER_STREAM) {
            this.#violations.push(`${requestId}: complete after ${events.length} events`);
        }
    }
}
