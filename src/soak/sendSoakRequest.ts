import { Agent } from "node:http";
import { computeEventId } from "../standIns/platform/cooperative/computeEventId.js";
import { buildCallerHeaders } from "../testing/platform/buildCallerHeaders.js";
import type { CooperativeFleet } from "../testing/platform/cooperativeFleet.js";
import { sendCaller } from "../testing/sendCaller.js";
import type { ObservedRequest } from "./observedRequest.js";
import { parseEvents } from "./parseEvents.js";
import type { SoakObserver } from "./soakObserver.js";

interface SoakRequest {
    readonly requestId: string;
    readonly route: ObservedRequest["route"];
    /** Number from which the instances and the shared prefix are derived. */
    readonly turn: number;
    /** Connections that the first attempt uses; later ones open their own. */
    readonly agent: Agent;
    /** @default "question" */
    readonly body?: string;
    /** Number of events after which the caller's connection breaks during the first attempt. @default never */
    readonly breakAfter?: number;
    /** Time in milliseconds that the caller waits in all. @default 3000 */
    readonly timeoutMs?: number;
    /** Shortest time in milliseconds between attempts. @default what the response says, or 50 */
    readonly retryDelayMs?: number;
}

const DEFAULT_TIMEOUT_MS = 3000;
const MAX_ATTEMPTS = 4;
/** Number of distinct shared prompt prefixes; they repeat, so that prefix-cache affinity matters. */
const SHARED_PREFIXES = 5;
/** How the identifiers of a stream's events increase, in turn. */
const NUMBERINGS = ["counted", "stepped", "uneven"] as const;
const DEFAULT_RETRY_MS = 50;
/** Callers do not repeat a request after these statuses. */
const FINAL_STATUSES: readonly number[] = [400, 401, 404, 413, 431];
/** Callers wait as long as `Retry-After` says, up to this share of the time that they have left. */
const RETRY_AFTER_SHARE = 1 / 3;

/**
 * Sends a request. A stream that breaks off is taken up at other instances with the last whole event, as the platform's
 * pages allow. Returns whether the response is whole in the end.
 */
export async function sendSoakRequest(
    fleet: CooperativeFleet,
    observer: SoakObserver,
    {
        requestId,
        route,
        turn,
        agent,
        body = "question",
        breakAfter,
        timeoutMs = DEFAULT_TIMEOUT_MS,
        retryDelayMs = 0,
    }: SoakRequest,
): Promise<boolean> {
    const isStream = route === "stream" || route === "once";
    const path = `/${route}/${NUMBERINGS[turn % NUMBERINGS.length]}`;
    const deadline = performance.now() + timeoutMs;
    let resumed: (NonNullable<ObservedRequest["resumed"]> & { readonly resumes: string; }) | undefined;
    for (let attempt = 0; attempt < MAX_ATTEMPTS && performance.now() < deadline; attempt += 1) {
        const attemptId = attempt === 0 ? requestId : `${requestId}-a${attempt}`;
        const instance = fleet.instances[(turn + attempt) % fleet.instances.length];
        if (!instance) {
            return false;
        }
        const sentAt = performance.now();
        const headers = buildCallerHeaders({
            requestId: attemptId,
            patienceMs: Math.ceil(deadline - sentAt),
            ...(isStream
                ? { engine: { key: fleet.key, sharedPart: `s${turn % SHARED_PREFIXES}`, ownPart: requestId } }
                : {}),
            resumed: resumed && {
                lastEventId: computeEventId(path, resumed.lastEvent),
                streamId: resumed.resumes,
            },
        });
        let isBrokenByCaller = false;
        const ownAgent = new Agent();
        const result = await sendCaller(`${fleet.getUrls(instance).callers}${path}`, {
            method: "POST",
            agent: attempt === 0 ? agent : ownAgent,
            body,
            headers,
            isBrokenAfter: received => {
                isBrokenByCaller ||= attempt === 0 && breakAfter !== undefined
                    && parseEvents(received).length >= breakAfter;
                return isBrokenByCaller;
            },
        });
        ownAgent.destroy();
        observer.record({
            requestId: attemptId,
            route,
            path,
            host: instance.host,
            sentAt,
            endedAt: performance.now(),
            deadline,
            isBrokenByCaller,
            ...(resumed ? { resumed } : {}),
        }, result);
        if (result.status === 200 && result.isWhole) {
            return true;
        }
        if (route !== "stream" || FINAL_STATUSES.includes(result.status)) {
            return false;
        }
        const lastEvent = result.status === 200 ? parseEvents(result.body).at(-1) : undefined;
        if (lastEvent) {
            resumed = {
                streamId: resumed?.streamId ?? attemptId,
                resumes: resumed?.resumes ?? attemptId,
                lastEvent: lastEvent.number,
            };
        }
        const retryAfterMs = Number(result.headers["retry-after"] ?? 0) * 1000 || DEFAULT_RETRY_MS;
        const restMs = deadline - performance.now();
        const delayMs = Math.max(
            Math.min(retryDelayMs, restMs),
            Math.min(retryAfterMs, restMs * RETRY_AFTER_SHARE),
        );
        await new Promise(resolve => setTimeout(resolve, delayMs));
    }
    return false;
}
