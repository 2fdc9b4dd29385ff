import type { Writable } from "node:stream";
import { createLogger as createWinstonLogger, format, type Logger, transports } from "winston";

interface LoggerOptions {
    /** Lowest level of log lines. */
    readonly level: string;
    /** Fields of each line. */
    readonly fields: Readonly<Record<string, string>>;
    readonly output: Writable;
}

/** Creates the logger of a process: one JSON object per line, with fields rather than sentences. */
export function createLogger({ level, fields, output }: LoggerOptions): Logger {
    return createWinstonLogger({
        level,
        defaultMeta: fields,
        format: format.combine(format.timestamp(), format.json()),
        transports: [new transports.Stream({ stream: output, eol: "\n" })],
    });
}
