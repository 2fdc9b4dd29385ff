import test from "ava";
import { runSpill } from "../../testing/spill/runSpill.js";

type Fleet = ReturnType<typeof runSpill>;
type DataCentre = keyof Fleet["outcomes"];

const DATA_CENTRES = ["a", "b", "c"] as const;

function countLeft(fleet: Fleet, from: DataCentre, to: DataCentre, since = 0, until = Infinity): number {
    return fleet.outcomes[from].left[to].slice(since, until).reduce((sum, count) => sum + (count ?? 0), 0);
}

function getOnTimeShare({ outcomes }: Fleet, dataCentre: DataCentre): number {
    return outcomes[dataCentre].onTime / outcomes[dataCentre].offered;
}

// Without a bound, data centres that have just enough room exchange requests whenever one of them looks idle for a moment.
test("nine tenths of the capacity everywhere: less than 1 % of the requests leave", t => {
    const fleet = runSpill({ seconds: 30, rate: () => 90 });
    const left = DATA_CENTRES.flatMap(from => DATA_CENTRES.map(to => countLeft(fleet, from, to)));
    t.true(left.reduce((sum, count) => sum + count, 0) < 81, left.join(" "));
    DATA_CENTRES.forEach(dataCentre => t.true(getOnTimeShare(fleet, dataCentre) > 0.999));
});

// A window that opens too slowly wastes the waves, one that closes too slowly moves requests after them.
test("waves of 15 s of 1.5 times the capacity: what exceeds it leaves, and nothing after a wave", t => {
    const fleet = runSpill({
        seconds: 45,
        rate: (dataCentre, now) => dataCentre === "a" && Math.floor(now / 15_000) % 2 === 0 ? 150 : 40,
    });
    t.true(getOnTimeShare(fleet, "a") > 0.9);
    t.true(getOnTimeShare(fleet, "b") > 0.99 && getOnTimeShare(fleet, "c") > 0.99);
    t.true(countLeft(fleet, "a", "b", 17, 30) + countLeft(fleet, "a", "c", 17, 30) <= 13);
});

// Instances that each take the whole headroom for theirs overshoot, then all withdraw, and so on.
test("60 s of 1.5 times the capacity, little room elsewhere: the flow does not oscillate", t => {
    const rates = { a: 150, b: 80, c: 60 };
    const fleet = runSpill({ seconds: 60, rate: dataCentre => rates[dataCentre] });
    const flow = Array.from(
        { length: 50 },
        (_, i) => countLeft(fleet, "a", "b", i + 10, i + 11) + countLeft(fleet, "a", "c", i + 10, i + 11),
    );
    t.true(Math.max(...flow) - Math.min(...flow) <= 24, flow.join(" "));
    t.true(countLeft(fleet, "b", "a") + countLeft(fleet, "c", "a") <= 10);
});

// The requests of a noisy account took the queues of the next data centre from its own callers.
test("a noisy account in one data centre: the callers of the others are served in time", t => {
    const fleet = runSpill({
        seconds: 20,
        rate: dataCentre => dataCentre === "a" ? 400 : 85,
        account: (dataCentre, i) => dataCentre === "a" && i % 8 > 0 ? "noisy" : dataCentre,
        tokensPerSecond: 600_000,
    });
    t.true(getOnTimeShare(fleet, "b") > 0.99 && getOnTimeShare(fleet, "c") > 0.99);
});

// A flow that follows too slowly refuses requests while other data centres idle.
test("a data centre loses half of its targets in 2 s: the requests that they served leave", t => {
    const fleet = runSpill({
        seconds: 20,
        rate: dataCentre => dataCentre === "a" ? 80 : 50,
        onStep: ({ targets, setTargets }, now) => {
            if (now === 7000) {
                targets.splice(0, 1);
                setTargets(now);
            }
        },
    });
    t.true(getOnTimeShare(fleet, "a") > 0.97);
    t.true(getOnTimeShare(fleet, "b") > 0.99);
});

// A bound that counts for an evacuated data centre too keeps its callers from the only targets that they have.
test("an evacuated data centre: its requests are served elsewhere, without the bound", t => {
    const fleet = runSpill({
        seconds: 15,
        rate: dataCentre => dataCentre === "a" ? 30 : 80,
        onStep: (stepped, now) => {
            if (now === 5000) {
                stepped.evacuated.add("a");
                stepped.setTargets(now);
            }
        },
    });
    t.is(countLeft(fleet, "b", "a", 5) + countLeft(fleet, "c", "a", 5), 0);
    t.true(getOnTimeShare(fleet, "a") > 0.97);
    t.true(getOnTimeShare(fleet, "b") > 0.97);
});

// A data centre that returns looks idle, so that all others would send to its cold targets at once.
test("a data centre comes back cold: no other one sends to it before it is warm", t => {
    const fleet = runSpill({
        seconds: 20,
        rate: dataCentre => dataCentre === "b" ? 0 : 120,
        onStep: ({ targets, setTargets }, now) => {
            if (now === 5000) {
                targets.filter(({ dataCentre }) => dataCentre === "b").forEach(target =>
                    target.coldUntil = 12_000
                );
                setTargets(now);
            }
        },
    });
    t.is(countLeft(fleet, "a", "b", 6, 12) + countLeft(fleet, "c", "b", 6, 12), 0);
    t.true(countLeft(fleet, "a", "b", 12) > 0);
});

// Without valid summaries a data centre looks idle: after 1.2 s everything would have left for it.
test("reports of a data centre stop, or it is partitioned: nothing leaves for it, and nothing from it", t => {
    const fleet = runSpill({
        seconds: 20,
        rate: dataCentre => dataCentre === "c" ? 20 : 130,
        isLost: (from, to, _i, now) => now >= 5000 && from !== to && (from === "b" || to === "b"),
    });
    t.is(countLeft(fleet, "a", "b", 7) + countLeft(fleet, "c", "b", 7), 0);
    t.is(countLeft(fleet, "b", "a", 7) + countLeft(fleet, "b", "c", 7), 0);
    t.true(countLeft(fleet, "a", "c", 7) > 100);
});

// Loads that expire between two reports make a data centre look idle for a moment.
test("half of the reports are lost: the flow goes on and the other data centres stay in time", t => {
    const fleet = runSpill({
        seconds: 30,
        rate: dataCentre => dataCentre === "a" ? 140 : 30,
        isLost: (_from, _to, i) => (i * 7919) % 1000 < 500,
    });
    t.true(getOnTimeShare(fleet, "a") > 0.9);
    t.true(getOnTimeShare(fleet, "b") > 0.97 && getOnTimeShare(fleet, "c") > 0.97);
});

// An instance without reports takes all others for idle and itself for the only one.
test("instances restart with empty state: they send nothing away before they know the loads", t => {
    const fleet = runSpill({
        seconds: 12,
        rate: dataCentre => dataCentre === "a" ? 140 : 30,
        onStep: ({ instances, restart }, now) => {
            if (now === 8000) {
                instances.filter(({ dataCentre }) => dataCentre === "a").forEach(({ name }) =>
                    restart(name, now)
                );
            }
        },
    });
    t.is(countLeft(fleet, "a", "b", 8, 10) + countLeft(fleet, "a", "c", 8, 10), 0);
    t.true(countLeft(fleet, "a", "b", 10) > 0);
});

// Older instances do not bound what they send; the newer ones have to leave them the headroom that they take.
test("an older instance runs beside newer ones: the callers of the other data centres stay in time", t => {
    const fleet = runSpill({
        seconds: 30,
        rate: dataCentre => dataCentre === "a" ? 130 : 75,
        isOlder: name => name === "a0",
    });
    t.true(getOnTimeShare(fleet, "a") > 0.99);
    t.true(getOnTimeShare(fleet, "b") > 0.995 && getOnTimeShare(fleet, "c") > 0.995);
});
