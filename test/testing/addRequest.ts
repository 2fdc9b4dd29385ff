import type { DispatchInputs } from "../../src/core/dispatch/dispatchInputs.js";
import type { DispatchState } from "../../src/core/dispatch/dispatchState.js";
import { enqueueRequest } from "../../src/core/dispatch/enqueueRequest.js";
import type { RequestTicket } from "../../src/core/request/requestTicket.js";
import { makeTicket } from "./makeTicket.js";

let nextId = 1;

/** Enqueues one request of an account; a refused one leaves the state unchanged. */
export function addRequest(
    state: DispatchState,
    account: string,
    inputs: DispatchInputs,
    options: Partial<RequestTicket> = {},
): DispatchState {
    nextId += 1;
    const request = { id: nextId, ticket: makeTicket(account, options), enqueuedAt: inputs.now };
    return enqueueRequest(state, request, inputs.index).state;
}
