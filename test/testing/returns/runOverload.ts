import type { ServiceScheduler } from "../../../src/core/routing/serviceScheduler.js";
import type { WaitingRequest } from "../../../src/core/routing/waitingRequest.js";
import { createRandom } from "../../../src/standIns/client/createRandom.js";
import { createScheduler } from "../scheduler/createScheduler.js";
import { makeRoutedRequest } from "../scheduler/makeRoutedRequest.js";
import { makeTargetDescriptor } from "../scheduler/makeTargetDescriptor.js";

interface OverloadOptions {
    /** Returns whether an instance promises capacity. */
    readonly usesReservations: (instance: number) => boolean;
    readonly instances?: number;
    /** Demand as a multiple of what the targets can serve. */
    readonly demandRatio: number;
    readonly loadMs: number;
    /** Weights of the accounts in the demand. */
    readonly accounts?: Readonly<Record<string, number>>;
    /** Rate from which shares follow; accounts have none if it is absent. */
    readonly tokensPerSecond?: number;
    /** Returns the time that the caller of a new request has, for a random position from 0 to 1. */
    readonly getTimeoutMs?: (position: number) => number;
    /** Requests that a target of an instance serves at once. */
    readonly getSlots?: (instance: number, now: number) => number;
    readonly isAlive?: (instance: number, now: number) => boolean;
    /** Returns whether the timers of an instance run. */
    readonly isRunning?: (instance: number, now: number) => boolean;
}

const STEP_MS = 5;
const START_MS = 60;
const SERVICE_MS = 200;
const OBJECTIVE_MS = 400;
const TIMEOUT_MS = 4000;
const SLOTS = 4;
const TARGETS = 2;
const RESEND_MS = 50;

/**
 * Plays a demand above the capacity of instances with two targets each, which exchange no reports. Refused callers return to any
 * instance, as they are told but after a third of their time at most, and at once if theirs is killed.
 */
export function runOverload(options: OverloadOptions): Readonly<Record<string, number>> {
    const { instances = 4, accounts = { a: 1, b: 1, c: 1 }, tokensPerSecond = 0, loadMs } = options;
    const {
        getTimeoutMs = () => TIMEOUT_MS,
        getSlots = () => SLOTS,
        isAlive = () => true,
        isRunning = () => true,
    } = options;
    const random = createRandom(1);
    const schedulers = Array.from({ length: instances }, (_, i) => {
        const unset = [
            undefined,
            undefined,
            undefined,
            undefined,
            undefined,
            undefined,
            undefined,
            undefined,
            undefined,
        ] as const;
        return createScheduler(tokensPerSecond / instances, ...unset, () => options.usesReservations(i))
            .scheduler;
    });
    const result = { requests: 0, refused: 0, refusals: 0, served: 0, onTime: 0 };
    const events: { at: number; run: () => void; }[] = [];
    const waits = new Map<WaitingRequest, readonly [scheduler: ServiceScheduler, send: () => void]>();
    let now = 0;
    const send = (account: string, firstAt: number, deadline: number, refusals: number): void => {
        const alive = schedulers.filter((_, i) => isAlive(i, now));
        const scheduler = alive[Math.floor(random() * alive.length)];
        if (!scheduler || now + START_MS >= deadline) {
            return;
        }
        const sendAgain = (count: number, at: number): number =>
            events.push({ at, run: () => send(account, firstAt, deadline, count) });
        const refuse = (retryAfterMs: number): void => {
            result.refused += Number(refusals === 0);
            result.refusals += 1;
            sendAgain(refusals + 1, now + Math.min(retryAfterMs, (deadline - now) / 3));
        };
        const request = makeRoutedRequest({
            requestId: String(random()),
            account,
            prompt: [{ id: `p${random()}`, tokens: 1000 }],
            receivedAt: now,
            objectiveDeadline: Math.min(deadline, now + OBJECTIVE_MS),
            deadline,
            route: { ...makeRoutedRequest().route, timeoutMs: TIMEOUT_MS },
        });
        const delay = scheduler.findRetryDelay(request, now);
        if (delay !== undefined) {
            refuse(delay);
            return;
        }
        const waiting: WaitingRequest = {
            request,
            excludedTargets: new Set(),
            isResume: false,
            onGrant: grant => {
                waits.delete(waiting);
                result.served += 1;
                result.onTime += Number(now + START_MS <= firstAt + OBJECTIVE_MS);
                events.push(
                    { at: now + START_MS, run: () => scheduler.start(grant, now) },
                    { at: now + SERVICE_MS, run: () => scheduler.release(grant, true, now) },
                );
            },
            onRefuse: ({ retryAfterMs }) => {
                waits.delete(waiting);
                refuse(retryAfterMs);
            },
            onError: error => {
                throw error;
            },
        };
        waits.set(waiting, [scheduler, () => sendAgain(refusals, now + RESEND_MS)]);
        scheduler.enqueue(waiting, now);
    };
    const owed = new Map(Object.keys(accounts).map(account => [account, random()]));
    const weights = Object.values(accounts).reduce((sum, weight) => sum + weight, 0);
    const perStep = instances * TARGETS * SLOTS / SERVICE_MS * STEP_MS * options.demandRatio;
    for (; now < loadMs + TIMEOUT_MS; now += STEP_MS) {
        for (const [i, scheduler] of schedulers.entries()) {
            const slots = getSlots(i, now);
            if (scheduler.targets.get(`t${i}-0`)?.descriptor.slots !== slots) {
                const ids = Array.from({ length: TARGETS }, (_, j) => `t${i}-${j}`);
                scheduler.replaceTargets(ids.map(id => makeTargetDescriptor(id, { slots })), new Set(), now);
            }
            if (isAlive(i, now) && isRunning(i, now)) {
                scheduler.advance(now);
            }
        }
        for (const [waiting, [scheduler, sendElsewhere]] of waits) {
            if (!isAlive(schedulers.indexOf(scheduler), now)) {
                waits.delete(waiting);
                scheduler.withdraw(waiting);
                sendElsewhere();
            }
        }
        for (const event of events.filter(({ at }) => at <= now).sort((a, b) => a.at - b.at)) {
            events.splice(events.indexOf(event), 1);
            event.run();
        }
        for (const [account, weight] of now < loadMs ? Object.entries(accounts) : []) {
            const due = (owed.get(account) ?? 0) + perStep * weight / weights;
            owed.set(account, due % 1);
            for (let i = 1; i <= due; i += 1) {
                result.requests += 1;
                send(account, now, now + getTimeoutMs(random()), 0);
            }
        }
    }
    const counts = schedulers.map(({ returns }) => returns.countPromises(now));
    return {
        ...result,
        neverServed: result.requests - result.served,
        refusalsPerRefused: result.refusals / result.refused,
        kept: counts.reduce((sum, { kept }) => sum + kept, 0),
        lapsed: counts.reduce((sum, { lapsed }) => sum + lapsed, 0),
        open: counts.reduce((sum, { open }) => sum + open, 0),
    };
}
