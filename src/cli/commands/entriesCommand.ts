import { Command, Option } from "clipanion";
import { z } from "zod";
import { BaseCommand } from "../baseCommand.js";
import { fetchJson } from "../fetchJson.js";
import { renderTable } from "../renderTable.js";

const entriesSchema = z.object({
    entries: z.array(z.object({ instance: z.string(), dataCentre: z.string(), address: z.string() })),
    validUntil: z.string(),
});

/** `baobabspread entries` */
export class EntriesCommand extends BaseCommand {
    static override readonly paths = [["entries"]];
    static override readonly usage = Command.Usage({
        category: "Fleet",
        description: "List the entry addresses that callers receive.",
        details: "Exit code 0: listed. 1: the daemon did not answer. 2: invalid arguments.",
        examples: [["Query any daemon", "$0 entries --entry 10.1.0.1:8080"]],
    });

    readonly entry = Option.String("--entry", {
        required: true,
        description: "Caller address of any daemon, host:port.",
    });
    readonly json = Option.Boolean("--json", false, { description: "Print JSON instead of a table." });

    async run(): Promise<number> {
        const response = entriesSchema.parse(await fetchJson(this.entry, "/v1/entries"));
        if (this.json) {
            this.printLines([JSON.stringify(response)]);
            return 0;
        }
        this.printLines([
            ...renderTable([
                ["INSTANCE", "DATA CENTRE", "ADDRESS"],
                ...response.entries.map(entry => [entry.instance, entry.dataCentre, entry.address]),
            ]),
            `valid until ${response.validUntil}`,
        ]);
        return 0;
    }
}
