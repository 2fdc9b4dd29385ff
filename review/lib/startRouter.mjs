import { spawn } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";
import { get } from "node:http";
import { createServer } from "node:net";
import { join } from "node:path";
import { repository } from "./repository.mjs";

const READY_TIMEOUT_MS = 20_000;
const POLL_MS = 50;

/**
 * Starts a router process with the command of the deploy file and waits until it is ready. The settings have the values of
 * the small installations, as deploy/settings.template.json renders them.
 */
export async function startRouter({ name, host, zone, zones, firstHost, ports, storeAddress, directory }) {
    const [front, ready, control, lookup, internal] = ports;
    const settingsPath = join(directory, `${name}.json`);
    writeFileSync(
        settingsPath,
        JSON.stringify({
            instance: name,
            dataCentre: zone,
            region: zones[zone],
            dataCentres: zones,
            callerAddress: `${host}:${front}`,
            readinessAddress: `${host}:${ready}`,
            directoryAddress: `${host}:${lookup}`,
            host,
            peerPort: internal,
            seedAddresses: [`${firstHost}:${control}`],
            storeAddress,
            processorShare: 0.675,
            processorSpeed: 1,
            memoryMb: 200,
            stopTimeoutSeconds: 8,
            strictRevocation: true,
            revocationMs: 5000,
            catchUpMs: 4000,
            targetChangeMs: 2500,
            configurationChangeMs: 2500,
            retryRatio: 0.2,
            retryWindowSeconds: 10,
            coldFactor: 1.5,
            coldSlack: 5,
            maxAddressTermSeconds: 5,
        }),
    );
    const [command, ...args] = readCommand();
    const child = spawn(command === "node" ? process.execPath : command, args, {
        cwd: repository,
        env: { PATH: process.env.PATH, BAOBABSPREAD_NODE_FILE: settingsPath },
        stdio: ["ignore", "pipe", "inherit"],
    });
    process.on("exit", () => child.kill("SIGKILL"));
    let log = "";
    child.stdout.on("data", chunk => log += chunk);
    const exited = new Promise(resolve =>
        child.on("exit", (code, signal) => resolve({ code, signal, at: performance.now() }))
    );
    const until = performance.now() + READY_TIMEOUT_MS;
    while (!await isReady(host, ready)) {
        if (performance.now() > until || child.exitCode !== null) {
            throw new Error(`The router ${name} is not ready: ${log}`);
        }
        await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
    return {
        host,
        port: front,
        pid: child.pid,
        exited,
        /** Sends a signal to the process. */
        kill: signal => child.kill(signal),
        /** Log lines of the process so far. */
        listLog: () => log.split("\n").filter(line => line !== "").map(line => JSON.parse(line)),
    };
}

/** Finds free ports for the addresses of a router; all routers use the same ones at hosts of their own. */
export async function findPorts(count) {
    const servers = Array.from({ length: count }, () => createServer());
    await Promise.all(servers.map(server => new Promise(resolve => server.listen(0, "127.0.0.1", resolve))));
    const ports = servers.map(server => server.address().port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}

function readCommand() {
    const text = readFileSync(join(repository, "deploy", "system.toml"), "utf8");
    return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

function isReady(host, port) {
    return new Promise(resolve => {
        get({ host, port, path: "/readiness", timeout: 1000 }, response => {
            response.resume();
            resolve(response.statusCode === 200);
        }).on("error", () => resolve(false));
    });
}
