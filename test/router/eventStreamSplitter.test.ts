import test from "ava";
import { EventStreamSplitter } from "../../src/router/eventStreamSplitter.js";

test("holds back an incomplete event, so that the fragment of a failed target never reaches the caller", t => {
    const splitter = EventStreamSplitter.create();
    t.is(splitter.push(Buffer.from("id: 1\ndata: a\n\nid: 2\nda"))?.toString(), "id: 1\ndata: a\n\n");
    t.true(splitter.hasPartialEvent);
    splitter.reset();
    t.is(splitter.push(Buffer.from("id: 2\ndata: b\n\n"))?.toString(), "id: 2\ndata: b\n\n");
    t.false(splitter.hasPartialEvent);
});

test("tracks the last complete event, however the bytes are split into chunks", t => {
    const splitter = EventStreamSplitter.create();
    const bytes = Buffer.from("id: 7\ndata: a\n\nid: 8\ndata: b\n\nid: 9\nda");
    for (const byte of bytes) {
        splitter.push(Buffer.from([byte]));
    }
    t.is(splitter.getLastEventId(), "8");
});

test("has no last event identifier before the first complete event, so that a retry starts from the beginning", t => {
    t.is(EventStreamSplitter.create().getLastEventId(), undefined);
});

test("bytes without end: takes time in proportion to the bytes of a stream that never completes an event", t => {
    const splitter = EventStreamSplitter.create();
    const chunk = Buffer.alloc(65_536, "x");
    const chunkCount = 512;
    // Each chunk is searched once and copied a bounded number of times; joining all of them per chunk takes minutes.
    let copied = 0;
    const copy = Buffer.prototype.copy;
    Buffer.prototype.copy = function(this: Buffer, ...args: Parameters<Buffer["copy"]>): number {
        const count = copy.apply(this, args);
        copied += count;
        return count;
    };
    t.teardown(() => Buffer.prototype.copy = copy);
    for (let i = 0; i < chunkCount; i += 1) {
        t.is(splitter.push(chunk), undefined);
    }
    t.is(splitter.partialBytes, chunkCount * chunk.length);
    t.true(copied <= 3 * chunkCount * chunk.length, String(copied));
});

test("finds the end of an event that spans two chunks, and only a true one", t => {
    const splitter = EventStreamSplitter.create();
    t.is(splitter.push(Buffer.from("id: 1\n")), undefined);
    t.is(splitter.push(Buffer.from("\nid: 2\n"))?.toString(), "id: 1\n\n");
    t.is(splitter.push(Buffer.from("data: b\n")), undefined);
    t.is(splitter.push(Buffer.from("\n"))?.toString(), "id: 2\ndata: b\n\n");
    t.false(splitter.hasPartialEvent);
    t.is(splitter.getLastEventId(), "2");
});
