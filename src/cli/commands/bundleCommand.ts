import { Command, Option } from "clipanion";
import { writeFile } from "node:fs/promises";
import { z } from "zod";
import { checkPublishedBundle } from "../../core/configuration/checkPublishedBundle.js";
import { SettingsError } from "../../core/errors/settingsError.js";
import { hashText } from "../../shared/hashText.js";
import { BaseCommand } from "../baseCommand.js";
import { buildPublishedBundle } from "../buildPublishedBundle.js";
import { decodeText } from "../decodeText.js";
import { readConfigurationFile } from "../readConfigurationFile.js";
import { readJsonFile } from "../readJsonFile.js";

/** `baobabspread bundle FILE --revision N` */
export class BundleCommand extends BaseCommand {
    static override readonly paths = [["bundle"]];
    static override readonly usage = Command.Usage({
        category: "Configuration",
        description: "Validate a configuration and write it as a bundle to publish.",
        details:
            "Set the revision with `--revision`, or pass the last published bundle with `--previous`, whose "
            + "revision is increased by 1. Wall-clock time is not used as it may go back. Exit code 0: written. "
            + "1: the configuration has faults. 2: invalid arguments or unreadable file. A large bundle is "
            + "written in compressed form.",
        examples: [[
            "Write the next bundle",
            "$0 bundle examples/taf-co-op.json --previous published.json --output next.json",
        ]],
    });

    readonly file = Option.String({ name: "FILE" });
    readonly revision = Option.String("--revision", {
        description: "Revision of the bundle, an integer of 1 or higher.",
    });
    readonly previous = Option.String("--previous", {
        description: "Last published bundle; the new one gets the next revision.",
    });
    readonly output = Option.String("--output", {
        description: "File to write. Default: standard output.",
    });

    async run(): Promise<number> {
        const revision = await this.#readRevision();
        const { configuration, faults } = await readConfigurationFile(this.file);
        if (!configuration) {
            this.context.stderr.write(`${faults.join("\n")}\n`);
            return 1;
        }
        const text = `${buildPublishedBundle(configuration, revision).text}\n`;
        if (this.output === undefined) {
            this.context.stdout.write(text);
            return 0;
        }
        await writeFile(this.output, text);
        this.printLines([`wrote revision ${revision} to ${this.output}`]);
        return 0;
    }

    async #readRevision(): Promise<number> {
        if ((this.revision === undefined) === (this.previous === undefined)) {
            throw SettingsError.create(["name either --revision N or --previous BUNDLE"]);
        }
        if (this.previous !== undefined) {
            return await readPreviousRevision(this.previous) + 1;
        }
        const result = z.coerce.number().int().positive().safeParse(this.revision);
        if (!result.success) {
            throw SettingsError.create([
                `--revision ${this.revision ?? ""}: must be an integer of 1 or higher`,
            ]);
        }
        return result.data;
    }
}

async function readPreviousRevision(path: string): Promise<number> {
    const { version, faults } = checkPublishedBundle(await readJsonFile(path), {
        hashText,
        decodeText,
    });
    if (version.revision === 0) {
        throw SettingsError.create(faults.map(fault => `${path}: ${fault}`));
    }
    return version.revision;
}
