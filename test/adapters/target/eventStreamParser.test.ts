import test from "ava";
import fc from "fast-check";
import { EventStreamParser } from "../../../src/adapters/target/eventStreamParser.js";

function buildStream(tokens: readonly string[], from = 0, lineEnd = "\n"): string {
    const usage = { prompt_tokens: 3, completion_tokens: tokens.length };
    const events = tokens.slice(from).map((token, offset) => {
        const index = from + offset;
        return JSON.stringify(index === tokens.length - 1 ? { index, token, usage } : { index, token });
    });
    return [...events, "[DONE]"].map(event => `data: ${event}${lineEnd}${lineEnd}`).join("");
}

function appendAll(parser: EventStreamParser, bytes: Buffer, cuts: readonly number[]): string {
    const bounds = [0, ...cuts.map(cut => cut % (bytes.length + 1)).sort((a, b) => a - b), bytes.length];
    return bounds.slice(1)
        .flatMap((bound, index) => parser.append(bytes.subarray(bounds[index], bound)).parts)
        .map(part => Buffer.from(part).toString("utf8"))
        .join("");
}

const tokens = fc.array(fc.string({ unit: "grapheme" }), { minLength: 1, maxLength: 12 });
const cuts = fc.array(fc.nat(), { maxLength: 8 });
const parameters = { seed: 7, numRuns: 300 };

test("forwards events unchanged wherever the network splits them", t => {
    fc.assert(
        fc.property(tokens, cuts, fc.constantFrom("\n", "\r\n"), (list, at, lineEnd) => {
            const parser = EventStreamParser.create();
            const text = buildStream(list, 0, lineEnd);
            return appendAll(parser, Buffer.from(text), at) === text && parser.isComplete
                && parser.nextIndex === list.length && parser.usage?.promptTokens === 3;
        }),
        parameters,
    );
    t.pass(`seed ${parameters.seed}`);
});

test("resumes a stream that broke anywhere without a gap or a repeated token", t => {
    fc.assert(
        fc.property(tokens, fc.nat(), fc.boolean(), (list, at, repeats) => {
            const text = buildStream(list);
            const bytes = Buffer.from(text);
            const parser = EventStreamParser.create();
            const first = appendAll(parser, bytes.subarray(0, at % bytes.length), []);
            parser.reset();
            // A target that ignores x-resume-from starts again at token 0.
            const rest = buildStream(list, repeats ? 0 : Math.min(parser.nextIndex, list.length));
            return first + appendAll(parser, Buffer.from(rest), []) === text && parser.isComplete;
        }),
        parameters,
    );
    t.pass(`seed ${parameters.seed}`);
});

test("rejects a gap, an error event and malformed events, and keeps the tokens before them", t => {
    for (const fault of ['{"index":2,"token":"c"}', '{"error":"x"}', "garbage", "[DONE]"]) {
        const parser = EventStreamParser.create();
        const validEvent = 'data: {"index":0,"token":"a"}\n\n';
        const events = parser.append(Buffer.from(`${validEvent}data: ${fault}\n\n`));
        t.true(events.isFaulty);
        t.is(events.parts.map(part => Buffer.from(part).toString()).join(""), validEvent);
        t.false(parser.isComplete);
    }
});
