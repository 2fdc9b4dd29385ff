import test from "ava";
import { computeColdShare } from "../../../src/core/routing/computeColdShare.js";
import { RateBucket } from "../../../src/core/routing/rateBucket.js";

test("keeps a cold target within its limit in any second, without coordination between instances", t => {
    const limit = 24.5;
    for (const count of [1, 2, 7, 15, 90]) {
        const members = Array.from({ length: count }, (_, i) => `i${i}`);
        const shares = members.flatMap(name => computeColdShare("t", limit, name, members) ?? []);
        const buckets = shares.map(share => ({ share, bucket: RateBucket.create(share.burst, 0) }));
        const sent: number[] = [];
        for (let now = 0; now <= 3000; now += 5) {
            for (const { share, bucket } of buckets) {
                while (bucket.tryTake(now, share.perSecond, share.burst)) {
                    sent.push(now);
                }
            }
        }
        const worst = Math.max(...sent.map(from => sent.filter(at => at >= from && at < from + 1000).length));
        t.true(worst > 0 && worst <= limit, `${count} instances sent ${worst} in a second`);
    }
});
