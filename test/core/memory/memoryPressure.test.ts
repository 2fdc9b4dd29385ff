import test from "ava";
import { MemoryPressure } from "../../../src/core/memory/memoryPressure.js";

const MB = 1_048_576;
const LIMIT = 200 * MB;

function makeUsage(
    externalMb: number,
    residentMb = 0,
    heapUsedMb = 10,
): Parameters<MemoryPressure["observe"]>[0] {
    return {
        heapBytes: 20 * MB,
        heapUsedBytes: heapUsedMb * MB,
        heapLimitBytes: 100 * MB,
        externalBytes: externalMb * MB,
        residentBytes: residentMb * MB,
    };
}

test("memory is scarce from the high mark until the low mark", t => {
    const pressure = MemoryPressure.create(LIMIT);
    t.false(pressure.observe(makeUsage(70)));
    t.true(pressure.observe(makeUsage(100)));
    t.true(pressure.isScarce);
    t.false(pressure.observe(makeUsage(75)));
    t.true(pressure.isScarce);
    t.true(pressure.observe(makeUsage(30)));
    t.false(pressure.isScarce);
});

test("memory is scarce near the limit of the heap", t => {
    const pressure = MemoryPressure.create(LIMIT);
    pressure.observe(makeUsage(0, 0, 81));
    t.true(pressure.isScarce);
    pressure.observe(makeUsage(0, 0, 60));
    t.false(pressure.isScarce);
});

// The allocator keeps freed memory resident: an instance that goes by that alone refuses requests for good.
test("memory that is resident but free is not scarce", t => {
    const pressure = MemoryPressure.create(LIMIT);
    pressure.observe(makeUsage(0, 199));
    t.false(pressure.isScarce);
    pressure.observe(makeUsage(75, 199));
    t.true(pressure.isScarce);
});

test("a limit below the baseline leaves room for some requests", t => {
    const pressure = MemoryPressure.create(1);
    pressure.observe({ ...makeUsage(0), heapBytes: 8 * MB });
    t.false(pressure.isScarce);
});

// The heap of an idle process was above the marks, so that each request was refused for as long as the process lived.
test("a limit that an idle process nearly reaches leaves room for some requests, also after a burst", t => {
    for (const limitMb of [1, 64, 80]) {
        const pressure = MemoryPressure.create(limitMb * MB);
        pressure.observe(makeUsage(0, 57));
        t.false(pressure.isScarce, `idle, ${limitMb} MB`);
        pressure.observe(makeUsage(60, 110));
        t.true(pressure.isScarce, `burst, ${limitMb} MB`);
        pressure.observe(makeUsage(0, 100));
        t.false(pressure.isScarce, `after the burst, ${limitMb} MB`);
    }
});

test("collects after growth only, and everything only far from the last full collection", t => {
    const pressure = MemoryPressure.create(LIMIT);
    t.is(pressure.planCollection(makeUsage(0), 0), "none");
    t.is(pressure.planCollection(makeUsage(45), 0), "minor");
    pressure.recordCollection("minor", makeUsage(40), 0);
    t.is(pressure.planCollection(makeUsage(45), 0), "none");
    t.is(pressure.planCollection(makeUsage(80), 0), "full");
    pressure.recordCollection("full", makeUsage(75), 0);
    t.is(pressure.planCollection(makeUsage(86), 0), "minor");
    pressure.recordCollection("minor", makeUsage(86), 0);
    t.is(pressure.planCollection(makeUsage(98), 0), "full");
});

// Nothing grows while no request is taken: what has ended then stayed uncollected, and memory was scarce for good.
test("collects again and again while memory is scarce", t => {
    const pressure = MemoryPressure.create(LIMIT);
    pressure.recordCollection("full", makeUsage(100), 0);
    pressure.observe(makeUsage(100));
    t.is(pressure.planCollection(makeUsage(100), 900), "none");
    t.is(pressure.planCollection(makeUsage(100), 1000), "full");
});
