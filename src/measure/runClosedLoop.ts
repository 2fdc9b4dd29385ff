import type { CallResult } from "../standIns/client/callResult.js";

interface ClosedLoopResult {
    readonly completed: number;
    readonly failed: number;
    readonly tokens: number;
    readonly elapsedSeconds: number;
    /** Processor time of this process / elapsed time; near 1 the load generator is the bottleneck. */
    readonly generatorCoreShare: number;
    readonly latenciesMs: readonly number[];
}

interface ClosedLoopOptions {
    readonly callers: number;
    readonly seconds: number;
    readonly send: () => Promise<CallResult>;
}

/** Runs callers that each send the next call once the previous one has ended (closed-loop load). */
export async function runClosedLoop(options: ClosedLoopOptions): Promise<ClosedLoopResult> {
    const start = performance.now();
    const cpu = process.cpuUsage();
    const deadline = start + options.seconds * 1000;
    const latenciesMs: number[] = [];
    let failed = 0;
    let tokens = 0;
    await Promise.all(Array.from({ length: options.callers }, async () => {
        while (performance.now() < deadline) {
            const sentAt = performance.now();
            const result = await options.send();
            latenciesMs.push(performance.now() - sentAt);
            failed += result.correct ? 0 : 1;
            tokens += result.tokens;
        }
    }));
    const elapsedMs = performance.now() - start;
    const { user, system } = process.cpuUsage(cpu);
    return {
        completed: latenciesMs.length - failed,
        failed,
        tokens,
        elapsedSeconds: elapsedMs / 1000,
        generatorCoreShare: (user + system) / 1000 / elapsedMs,
        latenciesMs,
    };
}
