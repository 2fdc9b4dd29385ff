import { Command, Option } from "clipanion";
import { readFile } from "node:fs/promises";
import { listLogLines } from "../../core/explain/listLogLines.js";
import { BaseCommand } from "../baseCommand.js";
import { renderTable } from "../renderTable.js";

/** `baobabspread explain log REQUEST_ID FILE...` */
export class ExplainLogCommand extends BaseCommand {
    static override readonly paths = [["explain", "log"]];
    static override readonly usage = Command.Usage({
        category: "Fleet",
        description: "Explain the decisions about a request from the logs of several instances.",
        details: "Exit code 0: found. 1: no line names the request. 2: a file cannot be read.",
        examples: [["Read two logs", "$0 explain log 9c41d07be2a35f68 front-1.log front-2.log"]],
    });

    readonly requestId = Option.String({ name: "REQUEST_ID" });
    readonly files = Option.Rest({ name: "FILE", required: 1 });
    readonly json = Option.Boolean("--json", false, { description: "Print JSON instead of a table." });

    async run(): Promise<number> {
        const logs = await Promise.all(this.files.map(file => readFile(file, "utf8")));
        const { lines, dropped } = listLogLines(logs, this.requestId);
        if (this.json) {
            this.printLines([JSON.stringify({ lines, dropped })]);
        }
        else {
            this.printLines(
                lines.length === 0 ? ["no line names the request"] : renderTable([
                    ["TIME", "INSTANCE", "EVENT", "FIELDS"],
                    ...lines.map(
                        line => [new Date(line.at).toISOString(), line.instance, line.event, line.fields],
                    ),
                ]),
            );
            this.printLines(dropped > 0 ? [`${dropped} lines were dropped, so some may be missing`] : []);
        }
        return lines.length === 0 ? 1 : 0;
    }
}
