import test from "ava";
import { OutcomeQueue } from "../../../src/core/routing/outcomeQueue.js";

// With thousands of refused requests, repeats filled the queue faster than reports emptied it, and news came late.
test("repeats nothing while what has not been reported once fills a report", t => {
    const queue = OutcomeQueue.create();
    const make = (key: string): Parameters<OutcomeQueue["add"]>[0] => ({
        key,
        outcome: "crash",
        targetId: "t",
        sentAt: 0,
        endedAt: 10,
    });
    const report = (now: number): boolean =>
        (queue.take(now, () => [make("old")]) ?? []).some(([key]) => key === "old");
    let isRepeated = false;
    for (let now = 0; now < 6000; now += 150) {
        Array.from({ length: 60 }, (_, i) => queue.add(make(`new-${now}-${i}`)));
        isRepeated ||= report(now);
    }
    t.false(isRepeated);
    t.true(report(6000));
});
