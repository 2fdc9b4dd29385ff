import { type Agent, request as sendRequest } from "node:http";

interface CallerOptions {
    readonly method: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body?: string;
    readonly agent?: Agent;
}

interface CallerResult {
    /** 0 if there was no answer. */
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly body: string;
    /** False if the connection ended before the answer was whole. */
    readonly isWhole: boolean;
}

/** Sends one request as a caller does; never rejects. */
export function sendCaller(url: string, options: CallerOptions): Promise<CallerResult> {
    return new Promise(resolve => {
        const request = sendRequest(url, {
            method: options.method,
            headers: options.headers,
            ...(options.agent ? { agent: options.agent } : {}),
        });
        request.on("error", () => resolve({ status: 0, headers: {}, body: "", isWhole: false }));
        request.on("response", answer => {
            const chunks: Buffer[] = [];
            const finish = (isWhole: boolean): void =>
                resolve({
                    status: answer.statusCode ?? 0,
                    headers: answer.headers,
                    body: Buffer.concat(chunks).toString(),
                    isWhole,
                });
            answer.on("data", (chunk: Buffer) => chunks.push(chunk));
            answer.on("end", () => finish(answer.complete));
            answer.on("error", () => finish(false));
        });
        request.end(options.body);
    });
}
