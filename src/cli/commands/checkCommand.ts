import { Command, Option } from "clipanion";
import { BaseCommand } from "../baseCommand.js";
import { readConfigurationFile } from "../readConfigurationFile.js";

/** `baobabspread check FILE` */
export class CheckCommand extends BaseCommand {
    static override readonly paths = [["check"]];
    static override readonly usage = Command.Usage({
        category: "Configuration",
        description: "Validate a configuration or a bundle.",
        details:
            "Prints every fault with its path. Exit code 0: no fault. 1: faults. 2: the file cannot be read.",
        examples: [["Validate a configuration before publishing it", "$0 check examples/taf-co-op.json"]],
    });

    readonly file = Option.String({ name: "FILE" });
    readonly json = Option.Boolean("--json", false, { description: "Print JSON instead of lines." });

    async run(): Promise<number> {
        const { configuration, faults } = await readConfigurationFile(this.file);
        if (this.json) {
            this.printLines([JSON.stringify({ valid: configuration !== undefined, faults })]);
            return configuration ? 0 : 1;
        }
        if (configuration) {
            const counts = Object.entries(configuration).map(([kind, objects]) =>
                `${objects.length} ${kind}`
            );
            this.printLines([`valid: ${counts.join(", ")}`]);
            return 0;
        }
        this.printLines(faults);
        return 1;
    }
}
