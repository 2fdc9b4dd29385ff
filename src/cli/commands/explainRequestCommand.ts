import { Command, Option } from "clipanion";
import { ExplainCommand } from "../explainCommand.js";

/** `baobabspread explain REQUEST_ID` */
export class ExplainRequestCommand extends ExplainCommand {
    static override readonly paths = [["explain"]];
    static override readonly usage = Command.Usage({
        category: "Fleet",
        description: "Explain the decisions about a request.",
        details: "Exit code 0: found. 1: no decision found, or a daemon did not answer. "
            + "2: invalid arguments.",
        examples: [["Query the whole fleet", "$0 explain 0190... --operator 10.1.0.1:9000 --all"]],
    });

    readonly requestId = Option.String({ name: "REQUEST_ID" });

    run(): Promise<number> {
        return this.explainPage(`/v1/explain/requests/${encodeURIComponent(this.requestId)}`);
    }
}
