import test from "ava";
import { computeConnectionLimits } from "../../../src/core/routing/computeConnectionLimits.js";

const BYTES_PER_MB = 1_048_576;

// A process without a free descriptor accepts a connection and closes it at once, which resets it.
test("leaves descriptors for files and for connections that are refused", t => {
    for (const maxDescriptors of [16, 64, 256, 1024, 4100, 65_536]) {
        const { served, surplus, descriptors } = computeConnectionLimits({
            memoryBytes: 1e12,
            maxDescriptors,
        });
        const reserved = Math.min(200, maxDescriptors / 2);
        t.true(served >= 1 && surplus >= 1);
        t.is(served + surplus, descriptors);
        t.true(descriptors + reserved <= maxDescriptors, String(maxDescriptors));
    }
});

test("bounds the memory of connections by a share of the process's memory, whatever the descriptors", t => {
    const limits = computeConnectionLimits({
        memoryBytes: 200 * BYTES_PER_MB,
        maxDescriptors: Number.MAX_SAFE_INTEGER,
    });
    t.is(limits.served, 2560);
    t.is(limits.surplus, 2560);
});
