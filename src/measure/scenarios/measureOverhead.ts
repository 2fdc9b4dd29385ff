import { Agent } from "undici";
import type { CallResult } from "../../standIns/client/callResult.js";
import { sendCall } from "../../standIns/client/sendCall.js";
import { sendChat } from "../../standIns/client/sendChat.js";
import { ChildProcess } from "../../testing/childProcess.js";
import { createTafOptions } from "../../testing/createTafOptions.js";
import { Fleet } from "../../testing/fleet.js";
import { getAccountKey } from "../../testing/getAccountKey.js";
import { answerLength } from "../answerLength.js";
import { computePercentile } from "../computePercentile.js";
import { formatFigure } from "../formatFigure.js";
import { LoadWorkers } from "../loadWorkers.js";
import { readCpuMs } from "../readCpuMs.js";
import { runClosedLoop } from "../runClosedLoop.js";
import type { Scenario } from "../scenario.js";

type Route = "daemon" | "passThrough" | "direct";
type LoadSum = Awaited<ReturnType<LoadWorkers["run"]>>;

const DEFAULT_SECONDS = 3;
const ACCOUNT = "bench";
/** The routes alternate, so that a change of the machine's speed affects all of them. */
const ROUNDS = 3;
/** One worker generates about 10,000 calls/s, as much as the pass-through can handle. */
const WORKERS = 3;
const CALLERS_PER_WORKER = 32;
const CHAT_CALLERS = 128;
const SLOTS = 512;
/** The slow start of the targets takes about 3 s, and the JIT compiler needs a few thousand requests. */
const WARM_UP_SECONDS = 6;
const ROUTES: readonly Route[] = ["direct", "passThrough", "daemon"];

/** Compares one daemon with a direct connection and with a minimal pass-through proxy. */
export const measureOverhead: Scenario = async options => {
    const seconds = options.durationSeconds ?? DEFAULT_SECONDS;
    const fleet = await Fleet.create(createTafOptions({
        accounts: { [ACCOUNT]: 1 },
        instances: 1,
        engines: 2,
        engineSlots: SLOTS,
        plainServers: WORKERS,
        plainSlots: SLOTS,
        queueLimit: 10_000,
        fleet: {
            engine: { ...answerLength, tokenIntervalMs: 5 },
            plainService: { serviceMs: 0 },
            daemon: { policy: options.policy, logLevel: "warn" },
        },
    }));
    const targets = fleet.targets.names.filter(name => name.startsWith("order"))
        .map(name => fleet.targets.getAddress(name));
    const passThrough = await ChildProcess.create(new URL("../passThrough.js", import.meta.url), [
        JSON.stringify({ targets }),
    ]);
    const workers = await LoadWorkers.create(WORKERS);
    const agent = new Agent({ connections: 512, pipelining: 1 });
    const entries: Readonly<Record<Route, readonly string[]>> = {
        daemon: fleet.entries,
        passThrough: [passThrough.address],
        direct: targets,
    };
    const runFull = (route: Route, runSeconds: number): Promise<LoadSum> =>
        workers.run(entries[route], {
            key: getAccountKey(ACCOUNT),
            prefix: getPrefix(route),
            callers: CALLERS_PER_WORKER,
            seconds: runSeconds,
        });
    try {
        const alone = new Map<Route, number[]>(ROUTES.map(route => [route, []]));
        const full = new Map<Route, LoadSum[]>(ROUTES.map(route => [route, []]));
        let daemonCores = 0;
        for (const route of ROUTES) {
            await runFull(route, WARM_UP_SECONDS);
        }
        for (let round = 0; round < ROUNDS; round += 1) {
            for (const route of ROUTES) {
                const send = createPlainCall(route, entries[route][0] ?? "", agent);
                alone.get(route)?.push(
                    ...(await runClosedLoop({ callers: 1, seconds: seconds / 2, send })).latenciesMs,
                );
                const cpuBefore = await readCpuMs(fleet);
                full.get(route)?.push(await runFull(route, seconds));
                daemonCores += route === "daemon" ? (await readCpuMs(fleet) - cpuBefore) / 1000 / seconds : 0;
            }
            options.logProgress(`round ${round + 1} of ${ROUNDS}`);
        }
        const send = createChatCall(entries.daemon[0] ?? "", agent);
        const chat = await runClosedLoop({ callers: CHAT_CALLERS, seconds, send });
        const computeRate = (route: Route): number =>
            (full.get(route) ?? []).reduce((sum, run) => sum + run.completedPerSecond, 0) / ROUNDS;
        const compute = (route: Route, percentile: number): number =>
            computePercentile(alone.get(route) ?? [], percentile) ?? 0;
        const all = [...full.values()].flat();
        return {
            policy: options.policy,
            addedP50Ms: formatFigure(compute("daemon", 50) - compute("direct", 50)),
            addedP99Ms: formatFigure(compute("daemon", 99) - compute("direct", 99)),
            requestsPerSecond: formatFigure(computeRate("daemon"), 0),
            directRequestsPerSecond: formatFigure(computeRate("direct"), 0),
            passThroughRequestsPerSecond: formatFigure(computeRate("passThrough"), 0),
            throughputRatio: formatFigure(computeRate("daemon") / computeRate("passThrough")),
            tokensPerSecond: formatFigure(chat.tokens / chat.elapsedSeconds, 0),
            daemonCpuShare: formatFigure(daemonCores / ROUNDS),
            generatorCoreShare: formatFigure(
                Math.max(chat.generatorCoreShare, ...all.map(run => run.generatorCoreShare)),
            ),
            failedRequests: all.reduce((sum, run) => sum + run.failed, chat.failed),
        };
    }
    finally {
        await agent.destroy();
        await workers.close();
        await passThrough.stop("SIGKILL");
        await fleet.close();
    }
};

function getPrefix(route: Route): string {
    return route === "direct" ? "" : "/services/order-book";
}

function createPlainCall(route: Route, entry: string, dispatcher: Agent): () => Promise<CallResult> {
    return () =>
        sendCall({
            entry,
            key: getAccountKey(ACCOUNT),
            dispatcher,
            service: "order-book",
            method: "GET",
            path: "/orders/1",
            body: "",
            prefix: getPrefix(route),
        });
}

function createChatCall(entry: string, dispatcher: Agent): () => Promise<CallResult> {
    let count = 0;
    return () => {
        count += 1;
        return sendChat({
            entry,
            key: getAccountKey(ACCOUNT),
            dispatcher,
            model: "model-desk",
            prompt: `Proof the schedule number ${count}`,
            stream: true,
            ...answerLength,
        });
    };
}
