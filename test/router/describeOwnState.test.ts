import test from "ava";
import { describeOwnState } from "../../src/router/describeOwnState.js";

const view = {
    configuration: {} as NonNullable<Parameters<typeof describeOwnState>[1]["configuration"]>,
    hasHeardPeers: true,
    isFresh: () => true,
};

test("an instance that does not serve callers yet, or no longer, is closed whatever it knows", t => {
    t.is(describeOwnState(true, view, false), "open");
    t.is(describeOwnState(false, view, false), "closed");
});
