import { Command, Option } from "clipanion";
import type { Configuration } from "../../core/configuration/configuration.js";
import { describeConfigurationChange } from "../../core/configuration/describeConfigurationChange.js";
import { diffConfiguration } from "../../core/configuration/diffConfiguration.js";
import { SettingsError } from "../../core/errors/settingsError.js";
import { BaseCommand } from "../baseCommand.js";
import { readConfigurationFile } from "../readConfigurationFile.js";

/** `baobabspread diff OLD NEW` */
export class DiffCommand extends BaseCommand {
    static override readonly paths = [["diff"]];
    static override readonly usage = Command.Usage({
        category: "Configuration",
        description: "Show the differences between two configurations or bundles.",
        details: "Exit code 0, with or without changes. 2: a file cannot be read or has faults.",
        examples: [["Review a change before publishing it", "$0 diff published.json next.json"]],
    });

    readonly before = Option.String({ name: "OLD" });
    readonly after = Option.String({ name: "NEW" });
    readonly json = Option.Boolean("--json", false, { description: "Print JSON instead of lines." });

    async run(): Promise<number> {
        const before = await readValidConfiguration(this.before);
        const changes = diffConfiguration(before, await readValidConfiguration(this.after));
        if (this.json) {
            this.printLines([JSON.stringify(changes)]);
            return 0;
        }
        this.printLines(
            changes.length === 0
                ? ["no changes"]
                : changes.map(change => describeConfigurationChange(change, before)),
        );
        return 0;
    }
}

async function readValidConfiguration(path: string): Promise<Configuration> {
    const { configuration, faults } = await readConfigurationFile(path);
    if (!configuration) {
        throw SettingsError.create(faults.map(fault => `${path}: ${fault}`));
    }
    return configuration;
}
