import test from "ava";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { text } from "node:stream/consumers";

async function runDaemon(settings: string): Promise<readonly [unknown, string]> {
    const path = join(await mkdtemp(join(tmpdir(), "baobabspread-")), "daemon.json");
    await writeFile(path, settings);
    const module = new URL("../../src/daemon/main.js", import.meta.url).pathname;
    const child = spawn(process.execPath, [module, "--settings", path], {
        stdio: ["ignore", "ignore", "pipe"],
    });
    const [errors, [code]] = await Promise.all([text(child.stderr), once(child, "exit")]);
    return [code, errors.replaceAll(path, "FILE")];
}

test("reports every fault of invalid settings with its path and exits with code 2", async t => {
    const [code, errors] = await runDaemon(JSON.stringify({
        instance: "daemon-0",
        callerAddress: "localhost:80",
        peerAddress: "127.0.0.1:0",
        operatorAddress: "127.0.0.1:0",
        platformUrl: "ftp://10.0.0.1",
        bodyIdleTimeoutMs: 999,
        disk: "/var",
    }));
    t.is(code, 2);
    t.deepEqual(errors.trim().split("\n").map(line => line.split(":")[0]), [
        "dataCentre",
        "callerAddress",
        "platformUrl",
        "bodyIdleTimeoutMs",
        "settings",
    ]);
});

test("exits with code 2 if the settings file is not JSON", async t => {
    const [code, errors] = await runDaemon("{");
    t.is(code, 2);
    const lines = errors.trim().split("\n");
    t.regex(lines[0] ?? "", /"settings-awaited"/u);
    t.true(lines.at(-1)?.startsWith("FILE: "));
    t.is(lines.length, 2);
});

test("exits with code 1 if one address cannot be bound in time, instead of serving on the others", async t => {
    const [code, errors] = await runDaemon(JSON.stringify({
        instance: "daemon-0",
        dataCentre: "caerdydd-a",
        callerAddress: "127.0.0.1:0",
        peerAddress: "127.0.0.1:0",
        // TEST-NET-1 (RFC 5737) is never an address of the test host.
        operatorAddress: "192.0.2.1:9100",
        portTimeoutMs: 300,
        platformUrl: "http://127.0.0.1:1",
    }));
    t.is(code, 1);
    t.regex(errors, /"start-failed".*192\.0\.2\.1:9100.*EADDRNOTAVAIL/u);
});
