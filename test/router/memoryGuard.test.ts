import test from "ava";
import { MemoryGuard } from "../../src/router/memoryGuard.js";

const BYTES_PER_MB = 1_048_576;
const ballast = Buffer.alloc(64 * BYTES_PER_MB);

// Guards against requests that are taken while the process is close to the limit of its memory.
test("takes no requests near the limit, says so, and collects", t => {
    const lines: (readonly [string, object])[] = [];
    const collections: boolean[] = [];
    let now = 0;
    const guard = MemoryGuard.create({
        limitBytes: BYTES_PER_MB,
        log: { write: (event, fields) => lines.push([event, fields]) },
        collect: isMinor => void collections.push(isMinor),
        getNow: () => now,
    });
    t.true(guard.mayTake(0));
    guard.check();
    t.true(guard.isScarce);
    t.false(guard.mayTake(0));
    t.true(guard.residentBytes > BYTES_PER_MB);
    t.is(lines.length, 1);
    t.is(lines[0]?.[0], "memory-changed");
    t.like(lines[0]?.[1], { isScarce: true });
    now = 1000;
    guard.check();
    t.true(collections.includes(false));
    t.is(ballast.length, 64 * BYTES_PER_MB);
});

test("checks the memory after some bytes that were read, between its regular checks", t => {
    const guard = MemoryGuard.create({
        limitBytes: BYTES_PER_MB,
        log: { write: () => undefined },
        collect: undefined,
        getNow: () => 0,
    });
    guard.recordRead(BYTES_PER_MB - 1);
    t.false(guard.isScarce);
    guard.recordRead(1);
    t.true(guard.isScarce);
});
