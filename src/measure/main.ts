import { Cli } from "clipanion";
import { MeasureCommand } from "./measureCommand.js";

const INVALID_ARGUMENTS_EXIT_CODE = 2;

const cli = Cli.from(MeasureCommand, {
    binaryLabel: "baobabspread measure",
    binaryName: "npm run measure --",
});
// The callers of a failed benchmark would otherwise keep the process alive.
process.exit(await runCli(process.argv.slice(2)));

// The library exits with code 1 for invalid arguments; here that code means that the benchmark failed.
async function runCli(args: string[]): Promise<number> {
    try {
        const command = cli.process(args, Cli.defaultContext);
        if (command instanceof MeasureCommand) {
            command.checkArguments();
        }
    }
    catch (error) {
        process.stderr.write(cli.error(error));
        return INVALID_ARGUMENTS_EXIT_CODE;
    }
    return cli.run(args, Cli.defaultContext);
}
