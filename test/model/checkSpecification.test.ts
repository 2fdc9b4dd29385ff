import test from "ava";
import { checkSpecification } from "../../src/model/checkSpecification.js";
import { createSlotLeases } from "../../src/model/slotLeases/createSlotLeases.js";
import type { ModelEvent } from "../../src/model/slotLeases/modelEvent.js";
import type { ModelOptions } from "../../src/model/slotLeases/modelOptions.js";
import type { ModelState } from "../../src/model/slotLeases/modelState.js";
import type { Specification } from "../../src/model/specification.js";

const LIMIT = "the slots of a target in use never exceed its limit";
const SMALL = { slotLimit: 1, faults: 0, takeovers: 1, ticks: 2 };

function listViolations(specification: Specification<ModelState, ModelEvent>): readonly string[] {
    return checkSpecification(specification).violations.map(violation => violation.invariant);
}

function selectListChanges(specification: Specification<ModelState, ModelEvent>): typeof specification {
    const isKept = (event: ModelEvent): boolean =>
        event.type !== "crash" && event.type !== "restartLender"
        && !(event.type === "turn"
            && (event.work === "check" || (event.report && event.report.transfer !== "arrives")))
        && !((event.type === "tick" || event.type === "takeover") && event.transfer !== "arrives");
    return { ...specification, listEvents: state => specification.listEvents(state).filter(isKept) };
}

test("keeps the slots in use within the limit in small models with a takeover or a fault", t => {
    t.deepEqual(listViolations(createSlotLeases(SMALL)), []);
    t.deepEqual(listViolations(createSlotLeases({ slotLimit: 2, faults: 1, takeovers: 0, ticks: 2 })), []);
});

test("detects a lender that lends slots before earlier loans of them have ended", t => {
    const lenderTimings = {
        termMs: 1,
        marginMs: -1,
        loadReportTimeoutMs: 1000,
        loadReportAgeMs: 0,
        viewSkewMs: 0,
    };
    t.true(listViolations(createSlotLeases({ ...SMALL, lenderTimings })).includes(LIMIT));
});

test("detects an owner that ignores inactive entries and requests that no known entry accounts for", t => {
    const changeLedger: ModelOptions["changeLedger"] = ledger => ({
        ...ledger,
        entries: Object.fromEntries(
            Object.entries(ledger.entries).filter(([, entry]) => entry.reportedAt === 0),
        ),
        targets: Object.fromEntries(
            Object.entries(ledger.targets).map(([name, target]) => [name, { ...target, foreign: 0 }]),
        ),
    });
    const broken = createSlotLeases({ ...SMALL, takeovers: 0, changeLedger });
    t.true(listViolations(broken).includes(LIMIT));
});

test("detects lenders whose instance lists differ for longer than the margin", t => {
    const options = { slotLimit: 1, faults: 1, takeovers: 1, ticks: 2 };
    t.deepEqual(listViolations(selectListChanges(createSlotLeases(options))), []);
    t.true(listViolations(selectListChanges(createSlotLeases({ ...options, maxSkew: 2 }))).includes(LIMIT));
});
