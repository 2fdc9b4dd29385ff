import { Command, Option, UsageError } from "clipanion";
import { z } from "zod";
import type { MeasureOptions } from "./measureOptions.js";
import type { Scenario } from "./scenario.js";
import { scenarios } from "./scenarios.js";

const optionsSchema = z.object({
    seed: z.coerce.number().int(),
    durationSeconds: z.coerce.number().positive().optional(),
    policy: z.enum(["fleet", "local", "fifo"]),
    instances: z.coerce.number().int().positive(),
    accounts: z.coerce.number().int().min(2),
    trials: z.coerce.number().int().positive(),
});

/** Runs one benchmark scenario and prints its figures. */
export class MeasureCommand extends Command {
    static override usage = Command.Usage({
        description: "Run a benchmark with real processes and print its figures.",
        details: `Scenarios: ${Object.keys(scenarios).join(", ")}.`,
        examples: [["Fairness without coordination", "$0 fairness --policy local --seed 7 --json"]],
    });

    scenario = Option.String();
    seed = Option.String("--seed", "1", { description: "Seed of all random choices." });
    duration = Option.String("--duration", { description: "Duration of the load in seconds." });
    policy = Option.String("--policy", "fleet", { description: "Scheduling policy: fleet, local or fifo." });
    instances = Option.String("--instances", "7", { description: "Number of daemons." });
    accounts = Option.String("--accounts", "16", { description: "Number of client accounts." });
    trials = Option.String("--trials", "3", {
        description: "Number of repetitions, if the scenario repeats.",
    });
    logs = Option.String("--logs", { description: "Existing directory for daemon logs." });
    quick = Option.Boolean("--quick", false, {
        description: "Use shorter windows and smaller fleets, if the scenario supports it.",
    });
    json = Option.Boolean("--json", false, { description: "Print one JSON object as the last line." });

    async execute(): Promise<number> {
        const { run, options } = this.#parseArguments();
        const figures = await run(options);
        if (this.json) {
            this.context.stdout.write(
                `${JSON.stringify(figures, (_key, value: unknown) => value ?? null)}\n`,
            );
            return 0;
        }
        for (const [name, value] of Object.entries(figures)) {
            this.context.stdout.write(`${name.padEnd(32)} ${String(value ?? "not measured")}\n`);
        }
        return 0;
    }

    /**
     * Checks the scenario and the options without running anything.
     *
     * @throws {UsageError} If the scenario is unknown or the value of an option is invalid.
     */
    checkArguments(): void {
        this.#parseArguments();
    }

    #parseArguments(): { readonly run: Scenario; readonly options: MeasureOptions; } {
        const run = scenarios[this.scenario];
        if (!run) {
            throw new UsageError(
                `Unknown scenario ${this.scenario}; known: ${Object.keys(scenarios).join(", ")}.`,
            );
        }
        return { run, options: this.#parseOptions() };
    }

    #parseOptions(): MeasureOptions {
        const result = optionsSchema.safeParse({ ...this, durationSeconds: this.duration });
        if (!result.success) {
            throw new UsageError(
                result.error.issues.map(issue => `--${issue.path.join(".")}: ${issue.message}`).join("; "),
            );
        }
        return {
            ...result.data,
            durationSeconds: result.data.durationSeconds,
            quick: this.quick,
            logDirectory: this.logs,
            logProgress: text => void this.context.stderr.write(`${text}\n`),
        };
    }
}
