import test from "ava";
import { runOutage } from "../testing/platform/runOutage.js";

const FROM = 5000;
/** Ends of the outage, so that they fall on all phases of the calls that fail during it. */
const ENDS = Array.from({ length: 60 }, (_, i) => 12_000 + i * 70);
/** `contactMs`: an instance is bound by the store's changes this long after its path to the store is back. */
const CONTACT_MS = 4000;
/** Live targets register again within this time after the store has recovered. */
const REGISTRATION_MS = 2000;

// A target that left while an instance was cut off from the store was used beyond the contact bound, because the grace
// period began when the instance noticed the return of the store.
test("drops a target that left during an outage within the contact bound, however late the return is noticed", async t => {
    for (const until of ENDS) {
        const samples = await runOutage({ from: FROM, until });
        const late = samples.filter(({ at, isListed }) => at >= until + CONTACT_MS && isListed);
        t.deepEqual(late, [], `outage until ${until}`);
    }
});

test("keeps a live target whose registration lapsed during an outage until it has registered again", async t => {
    for (const until of ENDS) {
        const samples = await runOutage({ from: FROM, until, registeredAt: until + REGISTRATION_MS });
        // The first call lists the target.
        const dropped = samples.filter(({ at, isListed }) => at >= 1000 && !isListed);
        t.deepEqual(dropped, [], `outage until ${until}`);
    }
});
