import test from "ava";
import { once } from "node:events";
import { Socket } from "node:net";
import { ConnectionLimit } from "../../src/router/connectionLimit.js";

const LIMITS = { served: 4, surplus: 2, descriptors: 6 };

interface LimitHarness {
    readonly limit: ConnectionLimit;
    readonly changes: readonly boolean[];
    /** Numbers of open connections when one was closed. */
    readonly closed: readonly number[];
    /** What was sent before the end of a connection. */
    readonly sent: readonly string[];
    /** Adds a connection. */
    readonly add: () => Socket;
    readonly advance: (ms: number) => void;
    readonly setTargetConnections: (count: number) => void;
}

function createLimit(initialTargetConnections: number): LimitHarness {
    let now = 0;
    let targetConnections = initialTargetConnections;
    const changes: boolean[] = [];
    const closed: number[] = [];
    const sent: string[] = [];
    const limit = ConnectionLimit.create({
        ...LIMITS,
        countTargetConnections: () => targetConnections,
        getNow: () => now,
        onChanged: isReached => changes.push(isReached),
        onClosed: open => closed.push(open),
    });
    const add = (): Socket => {
        const socket = new Socket();
        socket.end = ((text: string) => {
            sent.push(text);
            return socket;
        }) as typeof socket.end;
        limit.add(socket);
        return socket;
    };
    const advance = (ms: number): void => {
        now += ms;
        limit.expire(now);
    };
    const setTargetConnections = (count: number): void => void (targetConnections = count);
    return { limit, changes, closed, sent, add, advance, setTargetConnections };
}

test("serves connections up to the limit, and further ones again once others have closed", async t => {
    const { limit, changes, add } = createLimit(0);
    const sockets = Array.from({ length: LIMITS.served }, add);
    t.false(sockets.some(socket => limit.isSurplus(socket)));
    t.true(limit.isSurplus(add()));
    t.true(limit.isReached);
    const [first] = sockets;
    first?.destroy();
    await once(first ?? t.fail() as never, "close");
    t.deepEqual(changes, [true, false]);
    t.false(limit.isSurplus(add()));
});

// Callers and targets share the descriptors of the process: what either takes, the other cannot have.
test("serves fewer connections while connections to targets take descriptors", t => {
    const { limit, add } = createLimit(3);
    t.false(limit.isSurplus(add()));
    t.true(limit.isSurplus(add()));
});

test("closes a surplus connection that brings no request in time, and those beyond the descriptors at once", t => {
    const { limit, closed, sent, add, advance } = createLimit(3);
    add();
    const surplus = [add(), add()];
    t.deepEqual(closed, []);
    add();
    t.deepEqual(closed, [3]);
    t.regex(sent.join(), /^HTTP\/1\.1 503 .*\r\nRetry-After: 1\r\n/);
    advance(4000);
    t.false(surplus.some(socket => socket.destroyed));
    advance(2000);
    t.true(surplus.every(socket => socket.destroyed));
    t.true(limit.isReached);
});

// The state was left only when a connection that is served closed: an instance without one stayed busy for good, and its
// callers, who avoid busy instances, brought none.
test("leaves the limit once connections to targets have closed, also if no caller's connection does", t => {
    const { limit, changes, add, advance, setTargetConnections } = createLimit(LIMITS.served);
    t.true(limit.isSurplus(add()));
    advance(250);
    t.true(limit.isReached);
    setTargetConnections(0);
    advance(250);
    t.false(limit.isReached);
    t.deepEqual(changes, [true, false]);
});
