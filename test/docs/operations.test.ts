import test from "ava";
import { readFile } from "node:fs/promises";
import { counterDefinitions } from "../../src/observability/counterDefinitions.js";

test("the operations page explains every counter with its labels", async t => {
    const page = await readFile(new URL("../../../docs/operations.md", import.meta.url), "utf8");
    const missing = Object.entries(counterDefinitions)
        .filter(([name, { labels }]) => !page.includes(`| \`${name}\` (${labels.join(", ")}) |`))
        .map(([name]) => name);
    t.deepEqual(missing, []);
});
