import test from "ava";
import { EventRelay } from "../../src/router/eventRelay.js";

test("an event that its target did not finish never reaches the caller", t => {
    const relay = EventRelay.create();
    t.is(relay.push(Buffer.from("id: 1\ndata: a\n\nid: 2\nda"))?.toString(), "id: 1\ndata: a\n\n");
    t.true(relay.hasPartialEvent);
    relay.reset();
    t.is(relay.push(Buffer.from("id: 2\ndata: b\n\n"))?.toString(), "id: 2\ndata: b\n\n");
    t.false(relay.hasPartialEvent);
});

test("a stream goes on after the last whole event, however the bytes were cut", t => {
    const relay = EventRelay.create();
    const bytes = Buffer.from("id: 7\ndata: a\n\nid: 8\ndata: b\n\nid: 9\nda");
    for (const byte of bytes) {
        relay.push(Buffer.from([byte]));
    }
    t.is(relay.getLastEventId(), "8");
});

test("a stream without a whole event starts again from the beginning", t => {
    t.is(EventRelay.create().getLastEventId(), undefined);
});
