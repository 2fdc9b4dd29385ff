import { Cli } from "clipanion";
import { MeasureCommand } from "./measureCommand.js";

const cli = Cli.from(MeasureCommand, {
    binaryLabel: "baobabspread measure",
    binaryName: "npm run measure --",
});
// Callers of an experiment that failed would keep the process alive.
process.exit(await cli.run(process.argv.slice(2), Cli.defaultContext));
