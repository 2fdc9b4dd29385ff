import { connect } from "node:net";
import { pickItem } from "./pickItem.js";
import type { SoakFault } from "./soakFault.js";

const MIN_CALLERS = 40;
const MAX_CALLERS = 120;
const STEP_MS = 5;
const CHUNK_BYTES = [1, 3, 16_384] as const;
/** Below the limit of a body in the configuration of the fleet. */
const BODY_BYTES = 49_152;
const EXTENSION = `;${"e".repeat(60)}`;
const MIN_OPEN_MS = 1000;
const MAX_OPEN_MS = 4000;

/** Callers that send chunked bodies but for their last byte, and stay connected. */
export const chunkedCrowdFaults: readonly SoakFault[] = [
    {
        name: "chunked-crowd",
        inject: async (fleet, random, wait) => {
            const instance = pickItem(fleet.instances, random);
            if (!instance.process.running) {
                return;
            }
            const { hostname, port } = new URL(fleet.getUrls(instance).callers);
            const chunkBytes = pickItem(CHUNK_BYTES, random);
            const extension = random() < 0.5 ? EXTENSION : "";
            const chunk = `${chunkBytes.toString(16)}${extension}\r\n${"x".repeat(chunkBytes)}\r\n`;
            const body = `${chunk.repeat(BODY_BYTES / chunkBytes)}0\r\n\r`;
            const key = random() < 0.5 ? `Authorization: Bearer ${fleet.key}\r\n` : "";
            const head = `POST /unsafe/crowd HTTP/1.1\r\nHost: h\r\n${key}Transfer-Encoding: chunked\r\n`;
            const sockets = [];
            for (let i = MIN_CALLERS + random() * (MAX_CALLERS - MIN_CALLERS); i > 0; i -= 1) {
                const socket = connect(Number(port), hostname);
                socket.on("error", () => undefined);
                socket.resume();
                socket.write(`${head}Request-Id: crowd-${Math.floor(i)}\r\nDeadline-Ms: 4000\r\n\r\n`);
                socket.write(body);
                sockets.push(socket);
                await wait(STEP_MS);
            }
            await wait(MIN_OPEN_MS + random() * (MAX_OPEN_MS - MIN_OPEN_MS));
            sockets.forEach(socket => socket.destroy());
        },
    },
];
