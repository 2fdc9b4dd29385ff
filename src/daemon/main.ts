#!/usr/bin/env node
import { SettingsError } from "../core/errors/settingsError.js";
import { Daemon } from "./daemon.js";
import { readDaemonSettings } from "./readDaemonSettings.js";

const INVALID_SETTINGS_EXIT_CODE = 2;

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
    // A second signal must not end the process before its requests have ended.
    process.on("SIGTERM", () => void daemon.stop().then(() => process.exit(0)));
}
