#!/usr/bin/env node
// The only static import: signals have handlers before the modules of the daemon are loaded.
import { startupSignals } from "../shared/startupSignals.js";

const INVALID_SETTINGS_EXIT_CODE = 2;
const START_FAILED_EXIT_CODE = 1;
const STOP_FAILED_EXIT_CODE = 1;

const startStop = new AbortController();
// Until the daemon listens, a stop signal ends the start.
startupSignals.attach("SIGTERM", () => startStop.abort());
startupSignals.observe((signal, action) => writeLine("signal-received", { signal, action }));

const { PortError } = await import("../core/errors/portError.js");
const { StartStoppedError } = await import("../core/errors/startStoppedError.js");
const { SettingsError } = await import("../core/errors/settingsError.js");
const { Daemon } = await import("./daemon.js");
const { readDaemonSettings } = await import("./readDaemonSettings.js");

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
    writeLine(event, { reason: String(error), stack });
    process.exit(isStopped ? 0 : START_FAILED_EXIT_CODE);
}

/** Writes a log line to standard error, before the logger of the daemon is there. */
function writeLine(event: string, fields: object): void {
    process.stderr.write(`${JSON.stringify({ event, ...fields })}\n`);
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
    startupSignals.observe((signal, action) => daemon.logSignal(signal, action));
    const failStop = (error: unknown): void => {
        writeLine("stop-failed", { reason: String(error) });
        process.exit(STOP_FAILED_EXIT_CODE);
    };
    const stop = (): void => void daemon.stop().then(() => process.exit(0), failStop);
    startupSignals.attach("SIGTERM", stop);
    if (startStop.signal.aborted) {
        stop();
    }
}
