import { connect, type Socket } from "node:net";
import type { ChunkForm } from "./chunkForm.js";

interface ChunkedCrowdOptions {
    /** Address of the process, host:port. */
    readonly address: string;
    /** Builds the head of a request, without the empty line behind it, by the index of its caller. */
    readonly buildHead: (index: number) => string;
    readonly form: ChunkForm;
    readonly callers: number;
    /** Callers that connect at once, and the pause in milliseconds until the next ones do. */
    readonly waveCallers: number;
    readonly waveMs: number;
}

/** Each caller at an index that is a multiple of this sends its body to the end. */
const WHOLE_STEP = 10;

/** Callers that send chunked bodies; most of them stop one byte short of the end and stay connected. */
export class ChunkedCrowd {
    readonly #sockets: Socket[] = [];
    readonly #statuses: string[] = [];

    /** Opens the connections; resolves when the last caller has connected or failed to. */
    static async open(options: ChunkedCrowdOptions): Promise<ChunkedCrowd> {
        const crowd = new ChunkedCrowd();
        for (let i = 0; i < options.callers; i += options.waveCallers) {
            const count = Math.min(options.waveCallers, options.callers - i);
            await Promise.all(Array.from({ length: count }, (_, j) => crowd.#add(options, i + j)));
            await new Promise(resolve => setTimeout(resolve, options.waveMs));
        }
        return crowd;
    }

    /** Number of connections that the process has not closed. */
    get connected(): number {
        return this.#sockets.filter(({ destroyed }) => !destroyed).length;
    }

    /** Number of responses by status. */
    countStatuses(): Readonly<Record<string, number>> {
        const counts: Record<string, number> = {};
        for (const status of this.#statuses) {
            counts[status] = (counts[status] ?? 0) + 1;
        }
        return counts;
    }

    /** Closes all connections. */
    close(): void {
        this.#sockets.forEach(socket => socket.destroy());
    }

    #add({ address, buildHead, form }: ChunkedCrowdOptions, index: number): Promise<void> {
        const [host, port] = address.split(":");
        const socket = connect({ host, port: Number(port) });
        this.#sockets.push(socket);
        socket.on("error", () => undefined);
        socket.on("data", data => {
            this.#statuses.push(...data.toString("latin1").match(/(?<=HTTP\/1\.1 )\d{3}/gu) ?? []);
        });
        const body = index % WHOLE_STEP === 0 ? form.whole : form.whole.subarray(0, -1);
        return new Promise(resolve => {
            socket.once("connect", () => {
                socket.write(`${buildHead(index)}\r\n\r\n`);
                socket.write(body);
                resolve();
            });
            socket.once("close", () => resolve());
        });
    }
}
