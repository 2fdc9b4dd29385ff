import { Cli } from "clipanion";
import { MeasureCommand } from "./measureCommand.js";

const INVALID_ARGUMENTS_EXIT_CODE = 2;

const cli = Cli.from(MeasureCommand, {
    binaryLabel: "baobabspread measure",
    binaryName: "npm run measure --",
});
// Callers of an experiment that failed would keep the process alive.
process.exit(await runCli(process.argv.slice(2)));

// The library ends with code 1 for invalid arguments, which here means that the experiment failed.
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
