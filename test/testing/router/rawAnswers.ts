import type { RawTarget } from "./rawTarget.js";

type RawRequest = Parameters<Parameters<typeof RawTarget.create>[3]>[0];

/** Answers of a raw target that last a given time in milliseconds. */
export const rawAnswers = {
    /** Writes a whole answer at the end of the time. */
    writePlain: ({ socket, requestId }: RawRequest, lastMs: number): void => {
        setTimeout(() => {
            socket.write(`${formatHead(requestId)}Content-Length: 2\r\n\r\nok`);
        }, lastMs);
    },
    /** Writes a stream of events, the first at once and the last at the end of the time. */
    writeStream: ({ socket, requestId }: RawRequest, lastMs: number): void => {
        socket.write(
            `${formatHead(requestId)}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`,
        );
        for (let i = 0; i <= EVENT_GAPS; i += 1) {
            setTimeout(() => {
                socket.write(formatChunk(`id: ${i + 1}\ndata: ${requestId}\n\n`));
                if (i === EVENT_GAPS) {
                    socket.write("0\r\n\r\n");
                }
            }, i * lastMs / EVENT_GAPS);
        }
    },
};

const EVENT_GAPS = 10;

function formatHead(requestId: string): string {
    return `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nResponse-Signature: s.${requestId}\r\n`;
}

function formatChunk(text: string): string {
    return `${text.length.toString(16)}\r\n${text}\r\n`;
}
