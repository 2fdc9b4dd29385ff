import { PortBinder } from "../../src/shared/portBinder.js";

type Options = Parameters<typeof PortBinder.create>[0];

/** Creates a binder that does not wait for ports that are in use, unless the options say otherwise. */
export function createPortBinder(options: Partial<Options> = {}): PortBinder {
    return PortBinder.create({
        deadline: 0,
        stopSignal: new AbortController().signal,
        getNow: () => performance.now(),
        writeLog: () => undefined,
        ...options,
    });
}
