import { Command } from "clipanion";
import { SettingsError } from "../core/errors/settingsError.js";

const FAILURE_EXIT_CODE = 1;
const INVALID_ARGUMENTS_EXIT_CODE = 2;

/** Base of all commands: turns errors into messages and exit codes. */
export abstract class BaseCommand extends Command {
    /** Runs the command and returns its exit code. */
    abstract run(): Promise<number>;

    async execute(): Promise<number> {
        try {
            return await this.run();
        }
        catch (error) {
            const lines = error instanceof SettingsError ? error.faults : [String(error)];
            this.context.stderr.write(`${lines.join("\n")}\n`);
            return error instanceof SettingsError ? INVALID_ARGUMENTS_EXIT_CODE : FAILURE_EXIT_CODE;
        }
    }

    /** Writes lines to standard output. */
    protected printLines(lines: readonly string[]): void {
        this.context.stdout.write(lines.map(line => `${line}\n`).join(""));
    }
}
