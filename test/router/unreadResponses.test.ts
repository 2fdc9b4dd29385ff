import test from "ava";
import { EventEmitter } from "node:events";
import type { ServerResponse } from "node:http";
import { UnreadResponses } from "../../src/router/unreadResponses.js";

interface FakeResponse {
    readonly response: ServerResponse;
    readonly state: { writableEnded: boolean; writableFinished: boolean; isDestroyed: boolean; };
}

function makeResponse(writableEnded: boolean, writableFinished: boolean): FakeResponse {
    const state = Object.assign(new EventEmitter(), {
        writableEnded,
        writableFinished,
        isDestroyed: false,
        destroy: (): void => {
            state.isDestroyed = true;
        },
    });
    return { response: state as unknown as ServerResponse, state };
}

// Callers that never read held their responses for good, so that memory stayed short and nothing was served any more.
test("closes the connections of complete responses that are unread long after the deadline, if memory is short", t => {
    let isShort = false;
    let now = 0;
    const lines: object[] = [];
    const unread = UnreadResponses.create({
        getNow: () => now,
        memory: { mayTake: () => !isShort },
        log: { write: (_event, fields) => lines.push(fields) },
    });
    const [complete, open, read] = [[true, false], [false, false], [true, true]]
        .map(([isEnded = false, isFinished = false]) => makeResponse(isEnded, isFinished));
    [complete, open, read].forEach(entry => entry && unread.add(entry.response, 1000));
    now = 10_000;
    unread.check();
    t.false(complete?.state.isDestroyed);
    isShort = true;
    now = 2900;
    unread.check();
    t.false(complete?.state.isDestroyed);
    now = 3100;
    unread.check();
    t.true(complete?.state.isDestroyed);
    t.false(open?.state.isDestroyed);
    t.false(read?.state.isDestroyed);
    t.deepEqual(lines, [{ reason: "response-unread" }]);
});
