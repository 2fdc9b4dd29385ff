import test from "ava";
import { createScheduler } from "../../testing/scheduler/createScheduler.js";
import { enqueueRequest } from "../../testing/scheduler/enqueueRequest.js";
import { makeRoutedRequest } from "../../testing/scheduler/makeRoutedRequest.js";
import { makeTargetDescriptor } from "../../testing/scheduler/makeTargetDescriptor.js";

type Scheduler = ReturnType<typeof createScheduler>["scheduler"];

const TARGETS = [
    makeTargetDescriptor("a0", { version: "A" }),
    makeTargetDescriptor("b0", { version: "B" }),
    makeTargetDescriptor("b1", { version: "B" }),
    makeTargetDescriptor("unknown", { version: undefined }),
];
const ORIGIN = { service: "s", version: "A" };

function listGranted(scheduler: Scheduler, count: number, version: string): readonly (string | undefined)[] {
    return Array.from({ length: count }, () => {
        const { grant } = enqueueRequest(scheduler, makeRoutedRequest({ origin: { ...ORIGIN, version } }), 0);
        return grant?.target.descriptor.id;
    });
}

function createVersionedScheduler(
    mayBegin?: Parameters<typeof createScheduler>[6],
    mayGoOn?: Parameters<typeof createScheduler>[7],
): Scheduler {
    const { scheduler } = createScheduler(
        0,
        undefined,
        undefined,
        undefined,
        undefined,
        undefined,
        mayBegin,
        mayGoOn,
    );
    scheduler.setTargets(TARGETS, new Set(), 0);
    return scheduler;
}

// A broken stream went on at the target with the shortest queue, whatever its version.
test("grants a stream that goes on only targets of its version", t => {
    t.deepEqual(new Set(listGranted(createVersionedScheduler(), 6, "B")), new Set(["b0", "b1"]));
    t.deepEqual(listGranted(createVersionedScheduler(), 2, "A"), ["a0", "a0"]);
});

test("refuses a stream at once that no target of its version can go on with", t => {
    const scheduler = createVersionedScheduler();
    const origin = { ...ORIGIN, version: "C" };
    for (const isResume of [false, true]) {
        t.is(
            enqueueRequest(scheduler, makeRoutedRequest({ origin }), 0, { isResume }).refusal,
            "version-gone",
        );
    }
    const excludedTargets = new Set(["a0"]);
    const broken = makeRoutedRequest({ origin: ORIGIN });
    t.is(
        enqueueRequest(scheduler, broken, 0, { excludedTargets, isResume: true }).refusal,
        "version-gone",
    );
});

// The targets of the version that began a stream may be full while those of another one are free.
test("lets a stream that is taken up wait past its objective for a target of its version", t => {
    const scheduler = createVersionedScheduler();
    const first = enqueueRequest(scheduler, makeRoutedRequest({ origin: ORIGIN, promptTokens: 100_000 }), 0);
    const waiting = enqueueRequest(scheduler, makeRoutedRequest({ origin: ORIGIN }), 10);
    t.deepEqual(listGranted(scheduler, 2, "B").length, 2, "others are not held up");
    scheduler.advance(1000);
    t.is(waiting.refusal, undefined);
    t.is(waiting.grant, undefined);
    if (first.grant) {
        scheduler.release(first.grant, false, 1100);
    }
    t.is(waiting.grant?.target.descriptor.id, "a0");
});

test("begins no new resumable stream at a version that other instances may not know yet, but other requests", t => {
    const scheduler = createVersionedScheduler(({ version }) => version === "A");
    const { route } = makeRoutedRequest();
    const granted = Array.from({ length: 3 }, () => enqueueRequest(scheduler, makeRoutedRequest(), 0).grant);
    t.deepEqual(new Set(granted.map(grant => grant?.target.descriptor.id)), new Set(["a0"]));
    t.is(listGranted(scheduler, 1, "B").length, 1, "a stream that is taken up may go on there");
    const once = makeRoutedRequest({ route: { ...route, isResumable: false } });
    const others = Array.from(
        { length: 4 },
        () => enqueueRequest(scheduler, once, 0).grant?.target.descriptor.id,
    );
    t.true(others.some(id => id !== "a0"));
});

// A target whose process has started again may run another version than the list shows.
test("refuses a stream at once whose only target may have started again", t => {
    const scheduler = createVersionedScheduler(undefined, ({ id }) => id !== "a0" && id !== "b0");
    t.is(
        enqueueRequest(scheduler, makeRoutedRequest({ origin: ORIGIN }), 0).refusal,
        "version-gone",
    );
    t.deepEqual(new Set(listGranted(scheduler, 3, "B")), new Set(["b1"]));
    t.is(enqueueRequest(scheduler, makeRoutedRequest(), 0).refusal, undefined);
});
