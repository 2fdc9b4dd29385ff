import test from "ava";
import { NO_ERA } from "../../../src/core/routing/noEra.js";
import { RestoreTracker } from "../../../src/core/routing/restoreTracker.js";

test("tells a restored store from outdated contents, and when its contents have settled", t => {
    const tracker = RestoreTracker.create();
    t.is(tracker.adopt({ era: 3, revision: 20 }, 0), "current");
    t.is(tracker.adopt({ era: 3, revision: 21 }, 0), "current");
    t.is(tracker.adopt({ era: 2, revision: 90 }, 0), "outdated");
    t.is(tracker.adopt({ era: 3, revision: 20 }, 0), "outdated");
    t.false(tracker.isSettling(0));
    t.is(tracker.adopt({ era: 5, revision: 12 }, 1000), "restored");
    t.is(tracker.adopt({ era: 5, revision: 12 }, 1000), "current");
    t.true(tracker.isSettling(5900));
    t.false(tracker.takeSettled(5900));
    t.true(tracker.takeSettled(6000));
    t.false(tracker.takeSettled(6100));
});

test("a store that names no era was restored if its revision is lower, and not if it begins to name one", t => {
    const tracker = RestoreTracker.create();
    tracker.adopt({ era: NO_ERA, revision: 20 }, 0);
    t.is(tracker.adopt({ era: NO_ERA, revision: 12 }, 0), "restored");
    t.is(tracker.adopt({ era: 0, revision: 13 }, 0), "current");
    t.is(tracker.adopt({ era: NO_ERA, revision: 14 }, 0), "outdated");
});
