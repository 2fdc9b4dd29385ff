import test from "ava";
import type { TargetGrant } from "../../src/core/routing/targetGrant.js";
import { SilenceHandler } from "../../src/router/silenceHandler.js";
import { makeRoutedRequest } from "../testing/scheduler/makeRoutedRequest.js";

type Options = Parameters<typeof SilenceHandler.create>[0];

interface Situation {
    readonly isStream: boolean;
    readonly isSuspect: boolean;
    readonly plan: ReturnType<Options["planNextAttempt"]>;
    readonly hasRetry: boolean;
    readonly hasTarget: boolean;
    readonly reason?: string;
}

const FREE: Situation = { isStream: true, isSuspect: false, plan: "retry", hasRetry: true, hasTarget: true };

/** Creates the handler of a request with one silent attempt; `steps` are the calls that change anything, in order. */
function createHandler(
    situation: Situation,
): { readonly handler: SilenceHandler; readonly steps: string[]; readonly looks: number[]; } {
    const steps: string[] = [];
    const looks: number[] = [];
    let now = 0;
    const attempt = {
        grant: { target: { descriptor: { id: "t1" } } },
        silentMs: 900,
        isWritten: true,
    };
    const running = [attempt];
    const options = {
        exchange: { request: makeRoutedRequest() },
        isStream: situation.isStream,
        planNextAttempt: () => situation.plan,
        crashRecord: { isSuspect: () => situation.isSuspect },
        retryBudget: { hasRetry: () => situation.hasRetry, tryTake: () => steps.push("take-retry") },
        scheduler: {
            tryGrant: (): TargetGrant | undefined => {
                looks.push(now);
                return situation.hasTarget ? {} as TargetGrant : undefined;
            },
        },
        attempts: {
            running,
            findSilence: (at: number) => {
                now = at;
                return running.length > 0 ? situation.reason ?? "silent" : undefined;
            },
            listUsedTargets: () => new Set(["t1"]),
            pause: () => {
                running.length = 0;
                steps.push("pause");
            },
            send: () => steps.push("send"),
        },
        log: { write: () => undefined },
    };
    return { handler: SilenceHandler.create(options as unknown as Options), steps, looks };
}

test("sets the run of a stream aside only for the next one, in one step", t => {
    const { handler, steps } = createHandler(FREE);
    handler.check(0);
    t.deepEqual(steps, ["take-retry", "pause", "send"]);
});

test("sends another attempt of a request that is no stream beside the silent one", t => {
    const { handler, steps } = createHandler({ ...FREE, isStream: false });
    handler.check(0);
    t.deepEqual(steps, ["take-retry", "send"]);
});

// Each of these ended the silent attempt first.
test("changes nothing while anything is lacking that a further attempt needs", t => {
    const situations: Readonly<Record<string, Partial<Situation>>> = {
        "crash-suspect": { isSuspect: true },
        "no-attempt": { plan: "no-attempt" },
        "not-repeatable": { plan: "not-repeatable" },
        "no-retry-budget": { hasRetry: false },
        "no-target": { hasTarget: false },
    };
    for (const [lacking, situation] of Object.entries(situations)) {
        const { handler, steps } = createHandler({ ...FREE, ...situation });
        handler.check(0);
        t.deepEqual(steps, [], lacking);
        t.is(handler.lacking, lacking);
    }
});

test("looks for a target at intervals, and at once after an attempt has failed", t => {
    const { handler, looks } = createHandler({ ...FREE, hasTarget: false });
    for (let now = 0; now <= 240; now += 40) {
        handler.check(now);
    }
    t.deepEqual(looks, [0, 120, 240]);
    handler.reset();
    handler.check(280);
    t.is(looks.at(-1), 280);
});

// With no target that answers, a request that moves or ends early would lose the answer of one that goes on.
test("all targets are unresponsive: the attempt goes on", t => {
    const { handler, steps } = createHandler({ ...FREE, reason: "unresponsive", hasTarget: false });
    handler.check(0);
    t.deepEqual(steps, []);
    t.is(handler.lacking, "no-target");
});

// Silence that is found sooner must not send more attempts than the budget allows.
test("unresponsive target without a retry budget: the attempt goes on", t => {
    const { handler, steps } = createHandler({ ...FREE, reason: "unresponsive", hasRetry: false });
    handler.check(0);
    t.deepEqual(steps, []);
    t.is(handler.lacking, "no-retry-budget");
});
