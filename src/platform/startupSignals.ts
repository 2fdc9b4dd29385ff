type SignalHandler = () => void;

/** Keeps signals that arrive before their handlers are attached. Node.js ends a process whose signal has no handler. */
class StartupSignals {
    readonly #handlers = new Map<NodeJS.Signals, SignalHandler>();
    readonly #pending = new Set<NodeJS.Signals>();

    private constructor(signals: readonly NodeJS.Signals[]) {
        for (const signal of signals) {
            process.on(signal, () => this.#accept(signal));
        }
    }

    /** Catches signals from now on. */
    static create(signals: readonly NodeJS.Signals[]): StartupSignals {
        return new StartupSignals(signals);
    }

    /** Attaches the handler of a signal, and runs it if the signal has already arrived. */
    attach(signal: NodeJS.Signals, handler: SignalHandler): void {
        this.#handlers.set(signal, handler);
        if (this.#pending.delete(signal)) {
            handler();
        }
    }

    #accept(signal: NodeJS.Signals): void {
        const handler = this.#handlers.get(signal);
        if (handler) {
            handler();
        }
        else {
            this.#pending.add(signal);
        }
    }
}

/** Signals of the router process, caught as soon as this module is loaded. */
export const startupSignals = StartupSignals.create(["SIGTERM", "SIGHUP"]);
