import { v7 as createUuid } from "uuid";
import { encodeLeaseState } from "../../daemon/encodeLeaseState.js";
import { encodeDemandReport } from "../../transport/encodeDemandReport.js";
import type { LeaseState__Output } from "../../transport/generated/baobabspread/peer/LeaseState.js";
import { loadPeerDefinition } from "../../transport/loadPeerDefinition.js";

interface DemandBytes {
    readonly reportBytes: number;
    readonly replyBytes: number;
}

const FRAMING_BYTES = 14;
const method = loadPeerDefinition().service.ReportDemand;

/** Returns the encoded sizes in bytes of a demand report and of the lease state in reply, framing included. */
export function measureDemand(accounts: number, leases: number): DemandBytes {
    const incarnation = createUuid();
    const report = encodeDemandReport({
        service: "model-1",
        dataCentre: "centre-1",
        distance: 0,
        demands: Array.from({ length: accounts }, (_, index) => ({
            account: `account-${index}`,
            waiting: 3,
            inFlight: 2,
            normalizedService: 123_456.7,
        })),
        holdings: new Map(
            Array.from(
                { length: leases },
                (_, index) => [`server-${index}`, { held: 3, inUse: 2, fencingNumber: 0 }],
            ),
        ),
        responseCounts: new Map(),
        size: 1,
        events: 0,
    }, {
        instance: "daemon-1001",
        incarnation,
        sequence: 100_000,
        appliedSequence: 100_000,
        appliedOwner: 1,
    });
    const state = encodeLeaseState({ service: 1, dataCentre: 1 }, {
        instance: "daemon-1000",
        incarnation,
        dataCentre: "centre-1",
        startedAtMs: 0,
    }, {
        sequence: 100_000,
        reportSequence: 100_000,
        reportedAt: 0,
        fencingNumber: Date.now() * 1024,
        leases: Array.from({ length: leases }, (_, index) => ({
            target: String(index + 1),
            slots: 3,
            deadline: 2000,
        })),
        horizon: 133_456.7,
        recovering: false,
        freeSlots: 10,
    }, 0);
    return {
        reportBytes: method.requestSerialize(report).length + FRAMING_BYTES,
        replyBytes: method.responseSerialize(state as LeaseState__Output).length + FRAMING_BYTES,
    };
}
