import test from "ava";
import { ServiceSpeeds } from "../../../src/core/targetSpeed/serviceSpeeds.js";
import { TargetSpeed } from "../../../src/core/targetSpeed/targetSpeed.js";

const LOAD = { runningRequests: 1, waitingRequests: 0, slots: 8 };

/** Records responses of a target, one in 100 ms, and returns the time after the last one. */
function recordResponses(
    speed: TargetSpeed,
    count: number,
    respond: (i: number) => { readonly ratio: number; readonly stated?: number; },
): number {
    for (let i = 0; i < count; i += 1) {
        const { ratio, stated } = respond(i);
        speed.recordLoad({ ...LOAD, workTimeRatio: stated }, i * 100);
        speed.recordSample(100 * ratio, 100, i * 100);
    }
    return (count - 1) * 100;
}

// The slowness was at least 1, so that a fast target got no more than its equal share.
test("learns speeds on both sides of 1, and believes few samples little", t => {
    for (const ratio of [0.5, 2]) {
        const speed = TargetSpeed.create(0);
        const first = recordResponses(speed, 1, () => ({ ratio, stated: 1 }));
        t.true(Math.abs(Math.log(speed.getTimeRatio(first))) < 0.3 * Math.LN2, "one sample says little");
        const uncertainty = speed.getUncertainty(first);
        const last = recordResponses(speed, 40, () => ({ ratio, stated: 1 }));
        t.true(Math.abs(Math.log(speed.getTimeRatio(last) / ratio)) < 0.2, String(ratio));
        t.true(speed.getUncertainty(last) < uncertainty / 2);
    }
});

// A stalled response would keep requests from a sound target for a long time.
test("a single response that took ten times as long counts as one that took three times as long", t => {
    const [three, ten] = [3.1, 10].map(stall => {
        const speed = TargetSpeed.create(0);
        const last = recordResponses(speed, 10, i => ({ ratio: i === 9 ? stall : 1, stated: 1 }));
        return speed.getTimeRatio(last);
    });
    t.is(ten, three);
    t.true(Number(ten) < 1.15);
});

// An outdated statement would keep requests from a target that shares its machine and is fast again.
test("changing pace: follows a true statement at once and goes back to the learned speed within 2 s", t => {
    const speed = TargetSpeed.create(0);
    const pace = (i: number): number => i % 3 === 0 ? 2.5 : 1;
    const last = recordResponses(speed, 40, i => ({ ratio: pace(i), stated: pace(i) }));
    const learned = speed.getTimeRatio(last + 5000);
    t.true(learned > 1.1 && learned < 1.6, String(learned));
    t.true(speed.getTimeRatio(last) > 2);
    t.true(Math.abs(speed.getTimeRatio(last + 2000) / learned - 1) < 0.05);
});

// False statements would drive requests away from a target, or draw all of them to it.
for (
    const [name, state] of Object.entries({
        "always 1 percent": () => 0.25,
        "always 10,000 percent": () => 10,
        "another one with each response": (i: number) => i % 2 === 0 ? 0.25 : 10,
    })
) {
    test(`false figures: a target that states ${name} has the speed that is measured`, t => {
        const speed = TargetSpeed.create(0);
        const last = recordResponses(speed, 40, i => ({ ratio: 1.5, stated: state(i) }));
        t.true(Math.abs(Math.log(speed.getTimeRatio(last) / 1.5)) < 0.25, String(speed.getTimeRatio(last)));
    });
}

// Peers would go on for minutes with what an instance has told that was killed.
test("killed instance: what it has told counts for 2 s", t => {
    const speed = TargetSpeed.create(0);
    for (let i = 0; i < 6; i += 1) {
        speed.adopt({ logRatio: Math.LN2 + i / 100, observedAt: 1000 + i * 50 }, 1300);
    }
    t.true(speed.getTimeRatio(1300) > 1.3);
    t.true(speed.getTimeRatio(2800) > 1.05);
    t.is(speed.getTimeRatio(3300), 1);
    t.is(speed.getNewestObservation(3300), undefined);
});

// The successor of a target would get the speed of the process before.
test("restarted target: observations from before its start do not count", t => {
    const speed = TargetSpeed.create(1000);
    speed.adopt({ logRatio: 2, observedAt: 999 }, 1100);
    t.is(speed.getTimeRatio(1100), 1);
    t.is(speed.namesRatio, undefined);
});

// The same observation arrives in several reports, and counted as often.
test("an observation that several peers pass on counts once", t => {
    const [once, often] = [TargetSpeed.create(0), TargetSpeed.create(0)];
    once.adopt({ logRatio: 1, observedAt: 100 }, 200);
    [100, 101, 103].forEach(observedAt => often.adopt({ logRatio: 1, observedAt }, 200));
    t.is(often.getTimeRatio(200), once.getTimeRatio(200));
});

// One target with a false figure would switch a service to speeds that the others do not tell.
test("speeds count once half of the targets that state their load tell how long work takes", t => {
    const targets = new Map(["a", "b", "c"].map(id => [id, { speed: TargetSpeed.create(0) }]));
    const speeds = ServiceSpeeds.create(targets);
    const results = [["a", undefined], ["b", undefined], ["c", 10], ["b", 1]] as const;
    t.deepEqual(
        results.map(([id, workTimeRatio]) => {
            targets.get(id)?.speed.recordLoad({ ...LOAD, workTimeRatio }, 0);
            speeds.update();
            return speeds.isActive;
        }),
        [false, false, false, true],
    );
});
