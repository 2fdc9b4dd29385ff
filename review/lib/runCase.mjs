import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

const TIME_LIMIT_MS = 110_000;
const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;

/**
 * Runs a case, writes `record.txt` in its folder, and exits with 0 if the rule held, 1 if it was broken and 2 if the case
 * could not run. `check` gets a function that records a line, whether there is a disruption, and a temporary directory; it
 * returns the breaches of the rule.
 */
export async function runCase(caseUrl, check) {
    const lines = [];
    const startedAt = performance.now();
    const record = (event, fields = {}) =>
        lines.push(`${Math.round(performance.now() - startedAt)} ms ${event} ${JSON.stringify(fields)}`);
    const directory = mkdtempSync(join(tmpdir(), "review-"));
    const finish = code => {
        const path = fileURLToPath(new URL("record.txt", caseUrl));
        writeFileSync(path, `${lines.join("\n")}\n`);
        rmSync(directory, { recursive: true, force: true });
        process.exit(code);
    };
    // The processes that the case has started are killed when this one exits.
    ["SIGINT", "SIGTERM"].forEach(signal => process.on(signal, () => finish(NOT_RUN)));
    setTimeout(() => {
        record("not-run", { reason: "time limit" });
        finish(NOT_RUN);
    }, TIME_LIMIT_MS);
    try {
        const breaches = await check({ record, hasTrouble: process.env.TROUBLE !== "0", directory });
        breaches.forEach(breach => record("rule-broken", breach));
        record("result", { breaches: breaches.length });
        process.stdout.write(`${breaches.length} breaches; see record.txt\n`);
        finish(breaches.length > 0 ? BROKEN : HELD);
    }
    catch (error) {
        record("not-run", { reason: String(error) });
        process.stdout.write(`not run: ${String(error)}\n`);
        finish(NOT_RUN);
    }
}
