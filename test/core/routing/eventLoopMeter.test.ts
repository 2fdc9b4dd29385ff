import test from "ava";
import { EventLoopMeter } from "../../../src/core/routing/eventLoopMeter.js";

test("burst: counts a process as busy while its event loop is never idle, even if timers fire on time", t => {
    const meter = EventLoopMeter.create();
    for (let i = 0; i < 50; i += 1) {
        meter.observe(5, 1);
    }
    t.true(meter.isBusy);
    for (let i = 0; i < 50; i += 1) {
        meter.observe(5, 0.3);
    }
    t.false(meter.isBusy);
});

test("does not count a process as busy after a short time of full utilisation", t => {
    const meter = EventLoopMeter.create();
    meter.observe(0, 0.2);
    for (let i = 0; i < 5; i += 1) {
        meter.observe(20, 1);
    }
    t.false(meter.isBusy);
});
