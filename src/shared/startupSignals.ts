import { constants } from "node:os";

type SignalHandler = (signal: NodeJS.Signals) => void;
type SignalAction = "stop" | "reload" | "ignore";

/** Signals that ask for an end; all are handled as SIGTERM is. */
const STOP_SIGNALS: ReadonlySet<NodeJS.Signals> = new Set(["SIGTERM", "SIGINT", "SIGQUIT", "SIGPWR"]);
/**
 * Other signals whose default action ends the process. Without a listener for SIGUSR1, Node.js opens its debugger on a port.
 * Signals that report a fault of the program (SIGSEGV, SIGABRT and the like) keep their default action.
 */
const OTHER_SIGNALS: readonly NodeJS.Signals[] = [
    "SIGHUP",
    "SIGUSR1",
    "SIGUSR2",
    "SIGALRM",
    "SIGVTALRM",
    "SIGXCPU",
    "SIGXFSZ",
    "SIGIO",
    "SIGSTKFLT",
    "SIGPROF",
];

/** Signals of the process. Those that arrive before their handlers are attached are kept until then. */
class StartupSignals {
    readonly #handlers = new Map<NodeJS.Signals, SignalHandler>();
    readonly #pending = new Set<NodeJS.Signals>();
    readonly #unobserved = new Set<NodeJS.Signals>();
    #onSignal: ((signal: NodeJS.Signals, action: SignalAction) => void) | undefined;

    private constructor(signals: readonly NodeJS.Signals[]) {
        for (const signal of signals) {
            process.on(signal, () => this.#accept(signal));
        }
    }

    /** Catches signals from now on, as far as the operating system has them. */
    static create(signals: readonly NodeJS.Signals[]): StartupSignals {
        return new StartupSignals(signals.filter(signal => signal in constants.signals));
    }

    /**
     * Attaches the handler of a signal, and runs it if the signal has already arrived. The handler of SIGTERM gets all signals
     * that ask for an end.
     */
    attach(signal: NodeJS.Signals, handler: SignalHandler): void {
        this.#handlers.set(signal, handler);
        for (const pending of this.#pending) {
            if (findHandledSignal(pending) === signal) {
                this.#pending.delete(pending);
                handler(pending);
            }
        }
    }

    /** Attaches a function that is told of each signal before it is handled, also of those that have already arrived. */
    observe(onSignal: (signal: NodeJS.Signals, action: SignalAction) => void): void {
        this.#onSignal = onSignal;
        this.#unobserved.forEach(signal => onSignal(signal, findAction(signal)));
        this.#unobserved.clear();
    }

    #accept(signal: NodeJS.Signals): void {
        if (this.#onSignal) {
            this.#onSignal(signal, findAction(signal));
        }
        else {
            this.#unobserved.add(signal);
        }
        const handler = this.#handlers.get(findHandledSignal(signal));
        if (handler) {
            handler(signal);
        }
        else {
            this.#pending.add(signal);
        }
    }
}

function findHandledSignal(signal: NodeJS.Signals): NodeJS.Signals {
    return STOP_SIGNALS.has(signal) ? "SIGTERM" : signal;
}

function findAction(signal: NodeJS.Signals): SignalAction {
    if (STOP_SIGNALS.has(signal)) {
        return "stop";
    }
    return signal === "SIGHUP" ? "reload" : "ignore";
}

/** Signals of this process, caught as soon as this module is loaded. */
export const startupSignals = StartupSignals.create([...STOP_SIGNALS, ...OTHER_SIGNALS]);
