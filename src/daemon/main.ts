#!/usr/bin/env node
// The only static import: signals have handlers before the modules of the daemon are loaded.
import { startupSignals } from "../shared/startupSignals.js";

const INVALID_SETTINGS_EXIT_CODE = 2;

const { SettingsError } = await import("../core/errors/settingsError.js");
const { Daemon } = await import("./daemon.js");
const { readDaemonSettings } = await import("./readDaemonSettings.js");

try {
    await runDaemon(process.argv.slice(2));
}
catch (error) {
    if (!(error instanceof SettingsError)) {
        throw error;
    }
    process.stderr.write(`${error.faults.join("\n")}\n`);
    process.exitCode = INVALID_SETTINGS_EXIT_CODE;
}

async function runDaemon(args: readonly string[]): Promise<void> {
    const [option, path] = args;
    if (option !== "--settings" || path === undefined) {
        throw SettingsError.create(["usage: baobabspread-daemon --settings FILE.json"]);
    }
    const settings = await readDaemonSettings(path);
    const daemon = await Daemon.create(settings);
    process.stdout.write(
        `${JSON.stringify({ event: "listening", name: settings.instance, ...daemon.addresses })}\n`,
    );
    startupSignals.observe((signal, action) => daemon.logSignal(signal, action));
    startupSignals.attach("SIGTERM", () => void daemon.stop().then(() => process.exit(0)));
}
