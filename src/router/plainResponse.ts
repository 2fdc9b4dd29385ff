import type { MemoryBudget } from "../core/memory/memoryBudget.js";
import { BufferedBody } from "./bufferedBody.js";
import type { CallerExchange } from "./callerExchange.js";
import type { CallerResponse } from "./callerResponse.js";
import type { ResponseHead } from "./responseHead.js";

interface PlainResponseOptions {
    readonly budget: MemoryBudget;
    readonly caller: CallerExchange;
    readonly response: CallerResponse;
    /** Called before the response is passed on before its end: no other one can take its place. */
    readonly onPassed: () => void;
    /** As for `CallerResponse.writeEvents`. */
    readonly onBlocked: (onDrain: (listener: () => void) => void) => void;
}

const FIRST_SERVER_ERROR = 500;

/** Response of an attempt that is no stream: buffered until its end, or passed on as it comes once it cannot be held. */
export class PlainResponse {
    readonly #options: PlainResponseOptions;
    readonly #body: BufferedBody;
    #isPassed = false;

    private constructor(options: PlainResponseOptions) {
        this.#options = options;
        this.#body = BufferedBody.create(options.budget, options.caller.response);
    }

    /** Creates a response without a body. */
    static create(options: PlainResponseOptions): PlainResponse {
        return new PlainResponse(options);
    }

    /** True once the response is passed on. */
    get isPassed(): boolean {
        return this.#isPassed;
    }

    /**
     * Adds a part of the body.
     *
     * @returns False if the response cannot be held, and is an error that another attempt may replace.
     */
    add(part: Buffer, status: number, head: ResponseHead): boolean {
        const { caller, response, onPassed, onBlocked } = this.#options;
        if (this.#isPassed) {
            response.writePart(part, onBlocked);
            return true;
        }
        if (this.#body.append(part)) {
            return true;
        }
        if (status >= FIRST_SERVER_ERROR && caller.request.route.kind !== "unsafe") {
            return false;
        }
        // The target has run the request: a failure would withhold an answer that nothing can replace.
        this.#isPassed = true;
        onPassed();
        response.startParts(status, head);
        this.#body.take().forEach(held => response.writePart(held, onBlocked));
        return true;
    }

    /** Takes the body of a response that is not passed on, in parts. */
    take(): readonly Buffer[] {
        return this.#body.take();
    }
}
