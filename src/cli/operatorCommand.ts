import { Option } from "clipanion";
import { SettingsError } from "../core/errors/settingsError.js";
import type { StatusReport } from "../core/explain/statusReport.js";
import { BaseCommand } from "./baseCommand.js";
import { fetchFromOperators } from "./fetchFromOperators.js";
import type { OperatorResponses } from "./operatorResponses.js";

/** Base of the commands that query daemons at their operator addresses. */
export abstract class OperatorCommand extends BaseCommand {
    readonly operators = Option.Array("--operator", {
        required: true,
        description:
            "Operator address of a daemon, host:port (for `explain route` also a router's metrics address); may be repeated.",
    });

    readonly all = Option.Boolean("--all", false, {
        description: "Also query every instance that the first answering daemon lists.",
    });

    readonly json = Option.Boolean("--json", false, { description: "Print JSON instead of tables." });

    /**
     * Fetches a page from the daemons selected by `--operator` and `--all`.
     *
     * @param body JSON text to post; by default, the page is only read.
     * @throws SettingsError when an address is malformed.
     */
    protected async fetchPages<T>(path: string, body?: string): Promise<OperatorResponses<T>> {
        const malformed = this.operators.filter(address => !/^[^\s/]+:\d{1,5}$/.test(address));
        if (malformed.length > 0) {
            throw SettingsError.create(malformed.map(address => `--operator ${address}: must be host:port`));
        }
        return fetchFromOperators<T>(this.all ? await this.#listOperators() : this.operators, path, body);
    }

    /** Prints the failed calls to standard error; returns the exit code. */
    protected reportFailures(responses: OperatorResponses<unknown>): number {
        for (const { address, reason } of responses.failures) {
            this.context.stderr.write(`${address} did not answer: ${reason}\n`);
        }
        return responses.failures.length === 0 ? 0 : 1;
    }

    async #listOperators(): Promise<readonly string[]> {
        const { answers } = await fetchFromOperators<StatusReport>(this.operators, "/v1/status");
        const listed = answers[0]?.value.instances.map(instance => instance.operatorAddress) ?? [];
        return [...new Set([...this.operators, ...listed.filter(address => address !== "")])];
    }
}
