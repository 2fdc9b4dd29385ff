interface LogLine {
    /** Unix milliseconds. */
    readonly at: number;
    readonly event: string;
    readonly instance: string;
    /** The remaining fields as JSON. */
    readonly fields: string;
}

interface LogSelection {
    readonly lines: readonly LogLine[];
    /** Number of lines that the instances dropped; above 0, the selection may have gaps. */
    readonly dropped: number;
}

/** Selects the lines of one request from the logs of several instances, in order of time. */
export function listLogLines(logs: readonly string[], requestId: string): LogSelection {
    const lines: LogLine[] = [];
    let dropped = 0;
    for (const text of logs.flatMap(log => log.split("\n"))) {
        const record = tryParse(text);
        if (!record) {
            continue;
        }
        const { at, event, instance, request, ...fields } = record;
        if (event === "log-dropped") {
            dropped += Number(fields["count"] ?? 0);
        }
        if (request === requestId) {
            lines.push({
                at: Number(at),
                event: String(event),
                instance: String(instance),
                fields: JSON.stringify(fields),
            });
        }
    }
    return { lines: lines.sort((a, b) => a.at - b.at), dropped };
}

/** A file may contain other output beside the log, so a line without a JSON object is skipped. */
function tryParse(text: string): Readonly<Record<string, unknown>> | undefined {
    const start = text.indexOf("{");
    if (start < 0) {
        return undefined;
    }
    try {
        return JSON.parse(text.slice(start)) as Readonly<Record<string, unknown>>;
    }
    catch {
        return undefined;
    }
}
