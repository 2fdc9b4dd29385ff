import { hashName } from "../core/configuration/hashName.js";
import type { DemandState } from "../core/lease/demandState.js";
import type { DemandReport__Output } from "../transport/generated/baobabspread/peer/DemandReport.js";

/** Decodes the demand report of an entry. The applied sequence is 0 if it belongs to another owner incarnation. */
export function decodeDemandReport(report: DemandReport__Output, ownerIncarnation: string): DemandState {
    return {
        sequence: report.sequence,
        appliedSequence: report.appliedOwner === hashName(ownerIncarnation) ? report.appliedSequence : 0,
        needs: report.demands.map(({ account, waiting, normalizedService }) => ({
            account,
            waiting,
            normalizedService,
        })),
        holdings: Object.fromEntries(
            report.holdings.map((
                { target, held, inUse, coldAnswers, busyAnswers },
            ) => [String(target), { held, inUse, coldAnswers, busyAnswers }]),
        ),
    };
}
