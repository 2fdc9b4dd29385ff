import { buildOutgoingRequest } from "./buildOutgoingRequest.js";
import { CheckedExchange } from "./checkedExchange.js";
import type { ForwardAttemptOptions } from "./forwardAttemptOptions.js";
import { watchExchange } from "./silence/watchExchange.js";
import { TargetExchange } from "./targetExchange.js";
import type { TargetExchangeOptions } from "./targetExchangeOptions.js";

type ExchangeCallbacks = Pick<TargetExchangeOptions, "onWritten" | "onHead" | "onData" | "onEnd" | "onFail">;

/**
 * Sends the request of an attempt. If a stream goes on, or begins at a target whose connections have broken, the process of
 * the target is first asked for its start: another start may have another version.
 */
export function createTargetExchange(
    options: ForwardAttemptOptions,
    callbacks: ExchangeCallbacks,
): TargetExchange | CheckedExchange {
    const { grant, caller, response, wire, agent, targetStarts, runGuarded, onFail } = options;
    const { descriptor } = grant.target;
    const { request } = caller;
    let exchange: TargetExchange | CheckedExchange | undefined;
    const exchangeOptions = {
        ...watchExchange(options, callbacks, () => exchange?.isSent ?? false),
        address: descriptor.address,
        outgoing: buildOutgoingRequest(options),
    };
    const isGoingOn = response.getLastEventId() !== undefined || request.resumesAfter !== undefined;
    if (!isGoingOn && !(request.route.isResumable && targetStarts.hasBroken(descriptor))) {
        exchange = TargetExchange.create({ ...exchangeOptions, agent });
        return exchange;
    }
    exchange = CheckedExchange.create({
        ...exchangeOptions,
        question: wire.buildStartQuestion(descriptor),
        readStart: body => wire.readStart(body),
        isAccepted: startMs => {
            const answer = targetStarts.recordAnswer(descriptor, startMs);
            return answer === "registered"
                || (answer === "unknown" && (!isGoingOn || targetStarts.mayGoOn(descriptor)));
        },
        runGuarded,
        onRefused: reason => runGuarded(() => onFail("refused", reason)),
    });
    return exchange;
}
