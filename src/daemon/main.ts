#!/usr/bin/env node
import { PortError } from "../core/errors/portError.js";
import { SettingsError } from "../core/errors/settingsError.js";
import { StartStoppedError } from "../core/errors/startStoppedError.js";
import { Daemon } from "./daemon.js";
import { readDaemonSettings } from "./readDaemonSettings.js";

const INVALID_SETTINGS_EXIT_CODE = 2;
const START_FAILED_EXIT_CODE = 1;

const startStop = new AbortController();
// Until the daemon listens, a stop signal ends the start.
process.on("SIGTERM", () => startStop.abort());

try {
    await runDaemon(process.argv.slice(2));
}
catch (error) {
    if (error instanceof SettingsError) {
        process.stderr.write(`${error.faults.join("\n")}\n`);
        process.exit(INVALID_SETTINGS_EXIT_CODE);
    }
    const isStopped = error instanceof StartStoppedError;
    const event = isStopped ? "stopped" : "start-failed";
    const stack = isStopped || error instanceof PortError || !(error instanceof Error)
        ? undefined
        : error.stack;
    process.stderr.write(`${JSON.stringify({ event, reason: String(error), stack })}\n`);
    process.exit(isStopped ? 0 : START_FAILED_EXIT_CODE);
}

async function runDaemon(args: readonly string[]): Promise<void> {
    const [option, path] = args;
    if (option !== "--settings" || path === undefined) {
        throw SettingsError.create(["usage: baobabspread-daemon --settings FILE.json"]);
    }
    const settings = await readDaemonSettings(path, {
        stopSignal: startStop.signal,
        onWait: reason =>
            process.stderr.write(`${JSON.stringify({ event: "settings-awaited", path, reason })}\n`),
    });
    const daemon = await Daemon.create(settings, startStop.signal);
    process.stdout.write(
        `${JSON.stringify({ event: "listening", name: settings.instance, ...daemon.addresses })}\n`,
    );
    // A second signal must not end the process before its requests have ended.
    const stop = (): void => void daemon.stop().then(() => process.exit(0));
    process.on("SIGTERM", stop);
    if (startStop.signal.aborted) {
        stop();
    }
}
