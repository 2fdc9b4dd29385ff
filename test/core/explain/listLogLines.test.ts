import test from "ava";
import { listLogLines } from "../../../src/core/explain/listLogLines.js";

test("selects the lines of one request from several logs with other output and truncated lines", t => {
    const first = [
        '  0.5 front-1 {"at":20,"event":"request-ended","instance":"front-1","request":"r","status":502}',
        '{"at":5,"event":"log-dropped","count":3}',
        '{"at":7,"event":"request-en',
    ].join("\n");
    const second = '{"at":10,"event":"attempt-failed","instance":"front-2","request":"r"}\n'
        + '{"at":11,"event":"attempt-failed","instance":"front-2","request":"other"}';
    const { lines, dropped } = listLogLines([first, second], "r");
    t.deepEqual(lines.map(line => [line.at, line.instance, line.event]), [
        [10, "front-2", "attempt-failed"],
        [20, "front-1", "request-ended"],
    ]);
    t.is(dropped, 3);
});
