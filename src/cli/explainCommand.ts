import type { Decision } from "../core/explain/decision.js";
import type { Explanation } from "../core/explain/explanation.js";
import { OperatorCommand } from "./operatorCommand.js";
import { renderTable } from "./renderTable.js";

/** Base of the commands that merge the decisions of several daemons by time. */
export abstract class ExplainCommand extends OperatorCommand {
    /** Fetches a page of decisions from each daemon and prints them, oldest first; returns the exit code. */
    protected async explainPage(path: string): Promise<number> {
        const responses = await this.fetchPages<Explanation>(path);
        const decisions = responses.answers
            .flatMap(({ value }) =>
                value.decisions.map(decision => ({ ...decision, instance: value.instance }))
            )
            .sort((a, b) => a.timeMs - b.timeMs);
        if (this.json) {
            this.printLines([JSON.stringify({ decisions, failures: responses.failures })]);
        }
        else if (decisions.length === 0) {
            this.printLines(["no decision is known; daemons keep the newest only"]);
        }
        else {
            this.printLines(renderTable([
                [
                    "TIME",
                    "INSTANCE",
                    "DECISION",
                    "REASON",
                    "ACCOUNT",
                    "SERVICE",
                    "TARGET",
                    "REQUEST",
                    "DETAILS",
                ],
                ...decisions.map(decision => formatDecision(decision.instance, decision)),
            ]));
        }
        const exitCode = this.reportFailures(responses);
        return decisions.length === 0 ? 1 : exitCode;
    }
}

function formatDecision(instance: string, decision: Decision): readonly string[] {
    const details = Object.entries(decision.fields ?? {}).map(([name, value]) => `${name}=${String(value)}`);
    return [
        new Date(decision.timeMs).toISOString(),
        instance,
        decision.kind,
        decision.reason,
        decision.account ?? "-",
        decision.service ?? "-",
        decision.target ?? "-",
        decision.requestId ?? "-",
        details.join(" "),
    ];
}
