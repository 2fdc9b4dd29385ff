import test from "ava";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtemp } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { ChildProcess } from "../../src/testing/childProcess.js";
import { waitUntil } from "../../src/testing/waitUntil.js";

function isRunning(pid: number): boolean {
    try {
        return process.kill(pid, 0);
    }
    catch {
        return false;
    }
}

test("a child process ends when the test process is killed", async t => {
    const harness = new URL("../../src/testing/childProcess.js", import.meta.url).href;
    const platform = new URL("../../src/standIns/platform/main.js", import.meta.url).href;
    const script = `
        import { ChildProcess } from ${JSON.stringify(harness)};
        const child = await ChildProcess.create(new URL(${JSON.stringify(platform)}), []);
        console.log(child.pid);`;
    const parent = spawn(process.execPath, ["--input-type=module", "--eval", script], {
        stdio: ["ignore", "pipe", "inherit"],
    });
    t.teardown(() => parent.kill("SIGKILL"));
    const [line] = await once(createInterface({ input: parent.stdout }), "line") as [string];
    const pid = Number(line);
    t.true(isRunning(pid));
    parent.kill("SIGKILL");
    await waitUntil("the child has ended", () => !isRunning(pid));
    t.pass();
});

test("the error of a router process that does not start names the reason", async t => {
    const logPath = join(await mkdtemp(join(tmpdir(), "baobabspread-")), "router.log");
    const main = new URL("../../src/platform/main.js", import.meta.url);
    await t.throwsAsync(ChildProcess.create(main, ["/missing.json"], { logPath }), {
        message: /exited with code 2 before it listened\. .*start-failed.*ENOENT/,
    });
});
