import { createLogger as createWinstonLogger, format, type Logger, transports } from "winston";

/** Creates the logger of a process: one JSON object per line on standard error, with fields rather than sentences. */
export function createLogger(level: string, fields: Readonly<Record<string, string>>): Logger {
    return createWinstonLogger({
        level,
        defaultMeta: fields,
        format: format.combine(format.timestamp(), format.json()),
        transports: [new transports.Console({ stderrLevels: ["error", "warn", "info", "debug"] })],
    });
}
