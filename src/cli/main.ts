#!/usr/bin/env node
import { Builtins, Cli } from "clipanion";
import { BundleCommand } from "./commands/bundleCommand.js";
import { CheckCommand } from "./commands/checkCommand.js";
import { DiffCommand } from "./commands/diffCommand.js";
import { EntriesCommand } from "./commands/entriesCommand.js";
import { ExplainAccountCommand } from "./commands/explainAccountCommand.js";
import { ExplainLogCommand } from "./commands/explainLogCommand.js";
import { ExplainRequestCommand } from "./commands/explainRequestCommand.js";
import { ExplainRouteCommand } from "./commands/explainRouteCommand.js";
import { StatusCommand } from "./commands/statusCommand.js";

const INVALID_ARGUMENTS_EXIT_CODE = 2;

const cli = Cli.from([
    Builtins.HelpCommand,
    CheckCommand,
    BundleCommand,
    DiffCommand,
    StatusCommand,
    ExplainRequestCommand,
    ExplainAccountCommand,
    ExplainLogCommand,
    ExplainRouteCommand,
    EntriesCommand,
], { binaryName: "baobabspread", binaryLabel: "Operate a baobabspread fleet", enableColors: false });
process.exitCode = await runCli(process.argv.slice(2));

// Clipanion exits with code 1 on invalid arguments, the code that here means a failed command.
async function runCli(args: string[]): Promise<number> {
    try {
        cli.process(args, Cli.defaultContext);
    }
    catch (error) {
        process.stderr.write(cli.error(error));
        return INVALID_ARGUMENTS_EXIT_CODE;
    }
    return cli.run(args, Cli.defaultContext);
}
