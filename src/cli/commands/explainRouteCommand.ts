import { Command, Option } from "clipanion";
import { readFile } from "node:fs/promises";
import { SettingsError } from "../../core/errors/settingsError.js";
import { parseRouteQuery } from "../../core/explain/route/parseRouteQuery.js";
import type { RouteExplanation } from "../../core/explain/route/routeExplanation.js";
import { OperatorCommand } from "../operatorCommand.js";
import { renderRoute } from "../renderRoute.js";

const PAGE = "/explain/route";
const UNKNOWN_INPUT_EXIT_CODE = 2;
/** Refusals because of what was asked for, with what to do about them. */
const INPUT_REFUSALS: Readonly<Record<string, string>> = {
    "no-route": "no route matches --host and --path",
    "unknown-route": "nothing is at --path",
    "unknown-service": "no service takes requests with this --path and --model",
    "service-forbidden": "the account may not use this service",
    "unknown-account": "no account has the name that --account gives",
    "unauthenticated": "no --account or --key-file is given, or no account has this key",
    "unknown-key":
        "the route needs an account: no --account or --key-file is given, or no account has this key",
};

/** `baobabspread explain route` */
export class ExplainRouteCommand extends OperatorCommand {
    static override readonly paths = [["explain", "route"]];
    static override readonly usage = Command.Usage({
        category: "Fleet",
        description: "Show where routers or daemons would send a request now, and why, without sending it.",
        details:
            "Exit code 0: all instances answered. 1: an instance did not answer or is not ready; it is named on "
            + "standard error. 2: invalid arguments, or a route, an account or a key that no instance knows.",
        examples: [[
            "Ask two routers",
            "$0 explain route --host chat.example --path /v1/chat --account capel --prompt sys:800,own:200 "
            + "--tokens 1000,200 --operator 10.1.0.1:9464 --operator 10.1.0.2:9464",
        ]],
    });

    readonly host = Option.String("--host", { required: true, description: "Host without port." });
    readonly path_ = Option.String("--path", { required: true, description: "Path; begins with a slash." });
    readonly account = Option.String("--account", { description: "Name of the client account." });
    readonly keyFile = Option.String("--key-file", { description: "File with the account's key." });
    readonly prompt = Option.String("--prompt", { description: "Prompt parts, ID:TOKENS,..." });
    readonly tokens = Option.String("--tokens", { description: "Prompt and output tokens, IN,OUT." });
    readonly model = Option.String("--model", { description: "Model of a chat completion at a daemon." });
    readonly requestId = Option.String("--request-id", {
        description: "Identifier, which picks the service of a route with several.",
    });

    async run(): Promise<number> {
        const { answers, failures } = await this.fetchPages<RouteExplanation>(PAGE, await this.#buildQuery());
        const [usable, others] = [answers.filter(isUsable), answers.filter(answer => !isUsable(answer))];
        const responses = {
            answers: usable,
            failures: [...failures, ...others.map(({ address }) => ({ address, reason: "no explanation" }))],
        };
        const explanations = responses.answers.map(({ value }) => value);
        this.printLines(
            this.json ? [JSON.stringify(responses)] : explanations.flatMap(value => renderRoute(value)),
        );
        const exitCode = this.reportFailures(responses);
        const isReady = this.#reportRefusals(explanations);
        if (exitCode !== 0 || !isReady) {
            return 1;
        }
        return explanations.every(({ refusal }) => refusal && refusal.reason in INPUT_REFUSALS)
            ? UNKNOWN_INPUT_EXIT_CODE
            : 0;
    }

    /** Prints what keeps instances from an outcome; returns whether all are ready. */
    #reportRefusals(explanations: readonly RouteExplanation[]): boolean {
        const lines = explanations.flatMap(({ instance, notReady, refusal }) => [
            ...(notReady.length > 0 ? [`${instance} is not ready: ${notReady.join(", ")}`] : []),
            ...(refusal && refusal.reason in INPUT_REFUSALS
                ? [`${instance}: ${INPUT_REFUSALS[refusal.reason] ?? ""}`]
                : []),
        ]);
        this.context.stderr.write(lines.map(line => `${line}\n`).join(""));
        return explanations.every(({ notReady }) => notReady.length === 0);
    }

    /** @throws SettingsError when an option has no valid value; a key is not repeated. */
    async #buildQuery(): Promise<string> {
        const tokens = this.tokens?.split(",").map(toNumber);
        const body = JSON.stringify({
            host: this.host,
            path: this.path_,
            account: this.account,
            key: this.keyFile === undefined ? undefined : await readKey(this.keyFile),
            prompt: this.prompt?.split(",").map(entry => {
                const [id, count, ...rest] = entry.split(":");
                return { id, tokens: rest.length > 0 ? Number.NaN : toNumber(count) };
            }),
            promptTokens: tokens?.[0],
            outputTokens: tokens?.[1],
            model: this.model,
            requestId: this.requestId,
        });
        const { faults = [] } = parseRouteQuery(body);
        const isPair = tokens === undefined || tokens.length === 2;
        const all = isPair ? faults : ["--tokens: must be IN,OUT", ...faults];
        if (all.length > 0) {
            throw SettingsError.create(all);
        }
        return body;
    }
}

/** A server of another kind may answer with any JSON. */
function isUsable({ value }: { readonly value: Partial<RouteExplanation>; }): boolean {
    return typeof value.instance === "string" && Array.isArray(value.notReady)
        && Array.isArray(value.services);
}

/** Text that is empty or no number becomes `null` in JSON, which the query's check names. */
function toNumber(text: string | undefined): number {
    return text?.trim() ? Number(text) : Number.NaN;
}

/** @throws SettingsError when the file cannot be read or is empty. */
async function readKey(path: string): Promise<string> {
    const key = (await readFile(path, "utf8").catch((error: unknown) => {
        throw SettingsError.create([`--key-file: ${String(error)}`]);
    })).trim();
    if (key === "") {
        throw SettingsError.create([`--key-file ${path}: is empty`]);
    }
    return key;
}
