import test from "ava";
import { EventRelay } from "../../src/router/eventRelay.js";

test("holds back an incomplete event, so that the fragment of a failed target never reaches the caller", t => {
    const relay = EventRelay.create();
    t.is(relay.push(Buffer.from("id: 1\ndata: a\n\nid: 2\nda"))?.toString(), "id: 1\ndata: a\n\n");
    t.true(relay.hasPartialEvent);
    relay.reset();
    t.is(relay.push(Buffer.from("id: 2\ndata: b\n\n"))?.toString(), "id: 2\ndata: b\n\n");
    t.false(relay.hasPartialEvent);
});

test("tracks the last complete event, however the bytes are split into chunks", t => {
    const relay = EventRelay.create();
    const bytes = Buffer.from("id: 7\ndata: a\n\nid: 8\ndata: b\n\nid: 9\nda");
    for (const byte of bytes) {
        relay.push(Buffer.from([byte]));
    }
    t.is(relay.getLastEventId(), "8");
});

test("has no last event identifier before the first complete event, so that a retry starts from the beginning", t => {
    t.is(EventRelay.create().getLastEventId(), undefined);
});
