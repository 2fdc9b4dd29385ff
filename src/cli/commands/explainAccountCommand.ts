import { Command, Option } from "clipanion";
import { ExplainCommand } from "../explainCommand.js";

/** `baobabspread explain account NAME` */
export class ExplainAccountCommand extends ExplainCommand {
    static override readonly paths = [["explain", "account"]];
    static override readonly usage = Command.Usage({
        category: "Fleet",
        description: "Explain the latest decisions about a client account.",
        details: "Exit code 0: found. 1: no decision found, or a daemon did not answer. "
            + "2: invalid arguments.",
        examples: [["Query one daemon", "$0 explain account capel --operator 10.1.0.1:9000"]],
    });

    readonly account = Option.String({ name: "NAME" });

    run(): Promise<number> {
        return this.explainPage(`/v1/explain/accounts/${encodeURIComponent(this.account)}`);
    }
}
