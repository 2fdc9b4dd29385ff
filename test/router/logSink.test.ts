import test from "ava";
import { spawn } from "node:child_process";

const MODULE = new URL("../../src/router/logSink.js", import.meta.url).href;

async function runScript(end: string): Promise<string> {
    const script = `
        import { LogSink } from ${JSON.stringify(MODULE)};
        const log = LogSink.create({});
        log.write("first", { text: "x".repeat(100_000) });
        log.flush();
        log.write("stopped", {});
        ${end}
        process.exit(0);
    `;
    const child = spawn(process.execPath, ["--input-type=module", "-e", script]);
    const chunks: Buffer[] = [];
    for await (const chunk of child.stdout) {
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks).toString();
}

test("writes the last lines before the process exits", async t => {
    const lines = (await runScript("await log.close();")).trim().split("\n");
    t.regex(lines.at(-1) ?? "", /"event":"stopped"/);
    t.is(lines.length, 2);
});

test("lets the process exit when nobody reads the log", async t => {
    const child = spawn(process.execPath, [
        "--input-type=module",
        "-e",
        `
        import { LogSink } from ${JSON.stringify(MODULE)};
        const log = LogSink.create({});
        log.write("first", { text: "x".repeat(200_000) });
        await log.close();
        process.exit(0);
    `,
    ]);
    child.stdout.pause();
    const code = await new Promise(resolve => child.once("exit", resolve));
    t.is(code, 0);
});
