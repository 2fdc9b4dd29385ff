import type { DispatchState } from "../dispatch/dispatchState.js";

interface AccountStatus {
    readonly account: string;
    readonly service: string;
    readonly waiting: number;
    readonly inFlight: number;
    /** Service in tokens per unit of weight, as known to this daemon. */
    readonly normalizedService: number;
}

/** Lists the client accounts with requests waiting or in flight at this daemon, for operators. */
export function listAccountStatus(
    state: DispatchState,
    getNormalizedService: (account: string) => number,
): readonly AccountStatus[] {
    const rows = new Map<string, AccountStatus>();
    const addRequests = (account: string, service: string, waiting: number, inFlight: number): void => {
        const key = `${account}/${service}`;
        const row = rows.get(key);
        rows.set(key, {
            account,
            service,
            waiting: (row?.waiting ?? 0) + waiting,
            inFlight: (row?.inFlight ?? 0) + inFlight,
            normalizedService: Math.round(getNormalizedService(account)),
        });
    };
    for (const queue of state.queues.values()) {
        addRequests(queue.account, queue.service, queue.requests.length, 0);
    }
    for (const { ticket } of state.requestsInFlight.values()) {
        addRequests(ticket.account, ticket.service, 0, 1);
    }
    return [...rows.values()].sort((a, b) => a.normalizedService - b.normalizedService);
}
