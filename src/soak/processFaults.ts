import { Agent } from "node:http";
import type { CooperativeFleet } from "../testing/platform/cooperativeFleet.js";
import { ignoredSignals } from "../testing/platform/ignoredSignals.js";
import { stopSignals } from "../testing/platform/stopSignals.js";
import { pickItem } from "./pickItem.js";
import { sendSoakRequest } from "./sendSoakRequest.js";
import { sendUntilEnded } from "./sendUntilEnded.js";
import type { SoakFault } from "./soakFault.js";
import { takePort } from "./takePort.js";

/** Signals that ask for no stop: those whose default action ends a process, and some that the system ignores or that resume. */
const OTHER_SIGNALS: readonly NodeJS.Signals[] = [
    ...ignoredSignals,
    "SIGPIPE",
    "SIGWINCH",
    "SIGURG",
    "SIGCHLD",
    "SIGCONT",
];
const MAX_SIGNALS = 12;
const MAX_SIGNAL_PAUSE_MS = 150;
const MIN_TAKEN_MS = 200;
const MAX_TAKEN_MS = 1000;
const MAX_TAKEN_PORTS = 3;
const CALLERS_PORT_INDEX = 0;
const PEER_PORT_INDEX = 3;
const DATAGRAMS_SHARE = 0.5;
const MAX_SUCCESSOR_DELAY_MS = 1500;
const MIN_BURST = 200;
const MAX_BURST = 600;
/** Connections of a burst that are opened at the same moment, and the time until the next ones. */
const BURST_STEP = 100;
const BURST_STEP_MS = 30;
const BURST_BODY = "x".repeat(60_000);
const MAX_NUMBER = 2 ** 31;

type Instance = CooperativeFleet["instances"][number];

/** Takes some ports of an instance for some hundred milliseconds. `freed` is fulfilled when they are free again. */
async function takePorts(
    { ports, impairments }: CooperativeFleet,
    { host }: Instance,
    random: () => number,
    wait: (ms: number) => Promise<void>,
): Promise<{ readonly freed: Promise<unknown>; }> {
    const count = 1 + Math.floor(random() * MAX_TAKEN_PORTS);
    const taken = new Set(Array.from({ length: count }, () => pickItem(ports, random)));
    const frees = await Promise.all([...taken].map(port => {
        const isDatagrams = port === ports[PEER_PORT_INDEX] && random() < DATAGRAMS_SHARE;
        return takePort(
            isDatagrams ? "datagrams" : pickItem(["listener", "listener", "connection"] as const, random),
            host,
            port,
        );
    }));
    const isCallersPort = taken.has(ports[CALLERS_PORT_INDEX] ?? 0);
    const endImpairment = isCallersPort ? impairments.start(`taken ${host}`) : undefined;
    const freed = wait(MIN_TAKEN_MS + random() * (MAX_TAKEN_MS - MIN_TAKEN_MS))
        .then(() => Promise.all(frees.map(free => free())))
        .then(endImpairment);
    return { freed };
}

/** Faults of the machine around the router processes: ports, signals, successors and many connections at once. */
export const processFaults: readonly SoakFault[] = [
    {
        name: "taken-ports",
        inject: async (fleet, random, wait) => {
            const instance = pickItem(fleet.instances, random);
            if (!instance.process.running || instance.isStarting) {
                return;
            }
            await (random() < 0.5 ? fleet.killInstances([instance]) : fleet.stopInstance(instance));
            await fleet.ensureInstance(instance, () => takePorts(fleet, instance, random, wait));
        },
    },
    {
        name: "overlapping-successor",
        inject: async (fleet, random, _wait, observer) => {
            const instance = pickItem(fleet.instances, random);
            if (!instance.process.running || instance.isStarting) {
                return;
            }
            const replaced = fleet.replaceInstance(instance, random() * MAX_SUCCESSOR_DELAY_MS);
            await Promise.all([replaced, sendUntilEnded(fleet, observer, instance, random)]);
        },
    },
    {
        name: "stopped-under-callers",
        inject: async (fleet, random, wait, observer) => {
            const instance = pickItem(fleet.instances, random);
            if (!instance.process.running || instance.isStarting) {
                return;
            }
            const sent = sendUntilEnded(fleet, observer, instance, random);
            await wait(random() * MAX_SIGNAL_PAUSE_MS);
            await fleet.stopInstance(instance, pickItem(stopSignals, random));
            await sent;
            await fleet.ensureInstance(instance);
        },
    },
    {
        name: "connection-burst",
        inject: async (fleet, random, wait, observer) => {
            const name = `burst-${Math.floor(random() * MAX_NUMBER)}`;
            const index = Math.floor(random() * fleet.instances.length);
            const route = pickItem(["unsafe", "stream"] as const, random);
            const count = MIN_BURST + Math.floor(random() * (MAX_BURST - MIN_BURST));
            const agent = new Agent();
            const sent: Promise<boolean>[] = [];
            for (let i = 0; i < count; i += 1) {
                if (i % BURST_STEP === 0) {
                    await wait(BURST_STEP_MS);
                }
                sent.push(sendSoakRequest(fleet, observer, {
                    requestId: `${name}-${i}`,
                    route,
                    turn: index,
                    agent,
                    body: BURST_BODY,
                }));
            }
            await Promise.all(sent);
            agent.destroy();
        },
    },
    {
        name: "signals",
        inject: async (fleet, random, wait) => {
            const stopped = random() < 0.5 ? pickItem(fleet.instances, random) : undefined;
            const isStopped = stopped?.process.running && !stopped.isStarting;
            const stop = isStopped
                ? fleet.stopInstance(stopped, pickItem(stopSignals, random))
                : Promise.resolve();
            for (let i = 0; i < 1 + random() * MAX_SIGNALS; i += 1) {
                const { process } = stopped && random() < 0.5 ? stopped : pickItem(fleet.instances, random);
                process.kill(pickItem(OTHER_SIGNALS, random));
                if (random() < 0.2) {
                    fleet.publish();
                }
                await wait(random() * MAX_SIGNAL_PAUSE_MS);
            }
            await stop;
            if (isStopped) {
                await fleet.ensureInstance(stopped);
            }
        },
    },
];
