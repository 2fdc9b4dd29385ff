import test from "ava";
import { ReturnCalendar } from "../../../src/core/returns/returnCalendar.js";
import { makeRoutedRequest } from "../../testing/scheduler/makeRoutedRequest.js";

/** Creates the calendar of a service that granted ten requests a second for 10 s. */
function createBusyCalendar(): ReturnCalendar {
    const calendar = ReturnCalendar.create();
    for (let now = -10_000; now <= 0; now += 100) {
        calendar.recordGrant(makeRoutedRequest(), now);
    }
    return calendar;
}

// Requests that are told the same time meet there, and all but one of them return for nothing.
test("promises the capacity of each time once, at a quarter of the granted rate", t => {
    const calendar = createBusyCalendar();
    const times = [1, 2, 3].map(() => calendar.reserve(makeRoutedRequest(), 0, 0, 0) ?? 0);
    t.deepEqual(times.map(ms => Math.round(ms / 50) * 50), [400, 800, 1200]);
});

// Callers return after a third of the time that they have left, so that a later place would stay empty.
test("promises nothing that arrives later than a caller waits, and no capacity is taken by it", t => {
    const calendar = createBusyCalendar();
    t.is(calendar.reserve(makeRoutedRequest({ deadline: 900 }), 0, 0, 0), undefined);
    t.is(calendar.reserve(makeRoutedRequest(), 4000, 0, 0), undefined);
    t.is(calendar.countOpen(0), 0);
    t.true((calendar.reserve(makeRoutedRequest(), 0, 0, 0) ?? Infinity) < 450);
});

// A promise of a start would send all callers back together, when the instance knows of no capacity yet.
test("start: promises nothing before a request has been granted", t => {
    t.is(ReturnCalendar.create().reserve(makeRoutedRequest(), 0, 0, 0), undefined);
});

// Callers whose capacity did not come would return ever sooner together with those that were promised later.
test("capacity does not come: the promise lapses, and the next one is later or not made", t => {
    const calendar = createBusyCalendar();
    const first = calendar.reserve(makeRoutedRequest(), 0, 0, 0) ?? 0;
    const second = calendar.reserve(makeRoutedRequest({ deadline: 11_000 }), 0, 0, 1000) ?? 0;
    t.true(second > first * 1.5, `${first}, ${second}`);
    t.deepEqual([calendar.lapsedTotal, calendar.countOpen(1000)], [1, 1]);
    t.is(calendar.reserve(makeRoutedRequest({ deadline: 15_000 }), 0, 0, 8000), undefined);
});

// A flood of refusals must not fill the memory.
test("keeps a bounded number of promises", t => {
    const calendar = ReturnCalendar.create();
    calendar.recordGrant(makeRoutedRequest({ promptTokens: 1e9 }), 0);
    const request = makeRoutedRequest({ promptTokens: 1, outputTokens: 0 });
    const made = Array.from({ length: 1000 }, () => calendar.reserve(request, 0, 0, 0));
    t.is(made.filter(ms => ms !== undefined).length, 500);
});
