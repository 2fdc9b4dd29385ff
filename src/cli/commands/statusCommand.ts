import { Command, Option } from "clipanion";
import type { StatusReport } from "../../core/explain/statusReport.js";
import { OperatorCommand } from "../operatorCommand.js";
import { renderSection } from "../renderSection.js";
import { renderTable } from "../renderTable.js";

/** `baobabspread status` */
export class StatusCommand extends OperatorCommand {
    static override readonly paths = [["status"]];
    static override readonly usage = Command.Usage({
        category: "Fleet",
        description:
            "Show the readiness and the adopted configuration of daemons and the instances that they suspect.",
        details: "Exit code 0: all daemons answered. 1: some did not; they are listed on standard error. "
            + "2: invalid arguments. `--details` also prints the sections of each status, and `--json` prints everything.",
        examples: [["Query the whole fleet", "$0 status --operator 10.1.0.1:9000 --all"]],
    });

    readonly details = Option.Boolean("--details", false, {
        description: "Also print the sections of each status, such as targets and leases.",
    });

    async run(): Promise<number> {
        const responses = await this.fetchPages<StatusReport>("/v1/status");
        if (this.json) {
            this.printLines([JSON.stringify(responses)]);
            return this.reportFailures(responses);
        }
        const reports = responses.answers.map(response => response.value);
        this.printLines(renderTable([
            ["INSTANCE", "DATA CENTRE", "STATE", "REVISION", "DIGEST", "LIST", "WATCHES", "REJECTED"],
            ...reports.map(report => [
                report.instance,
                report.dataCentre,
                report.notReady.join(",") || "ready",
                String(report.configuration?.revision ?? "-"),
                report.configuration?.digest.slice(0, 12) ?? "-",
                String(report.instanceListRevision),
                report.watchesPlatform ? "yes" : "no",
                String(report.lastRejection?.revision ?? "-"),
            ]),
        ]));
        this.#printWarnings(reports);
        if (this.details) {
            this.#printSections(reports);
        }
        return this.reportFailures(responses);
    }

    #printSections(reports: readonly StatusReport[]): void {
        for (const { instance, sections } of reports) {
            for (const [name, value] of Object.entries(sections)) {
                this.printLines(["", ...renderSection(`${instance} ${name}`, value)]);
            }
        }
    }

    #printWarnings(reports: readonly StatusReport[]): void {
        const reportersByState = new Map<string, string[]>();
        for (const report of reports) {
            for (const { name, suspected, leaving } of report.instances) {
                for (const state of [...(suspected ? ["suspected"] : []), ...(leaving ? ["leaving"] : [])]) {
                    const key = `${name}  ${state}`;
                    reportersByState.set(key, [...(reportersByState.get(key) ?? []), report.instance]);
                }
            }
        }
        if (reportersByState.size > 0) {
            this.printLines([
                "",
                ...[...reportersByState].map(([key, by]) => `${key} at ${by.length} of ${reports.length}`),
            ]);
        }
        for (const { instance, lastRejection } of reports) {
            if (lastRejection) {
                this.printLines([
                    "",
                    `${instance} rejected revision ${lastRejection.revision}:`,
                    ...lastRejection.faults,
                ]);
            }
        }
    }
}
