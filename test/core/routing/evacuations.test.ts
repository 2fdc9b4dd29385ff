import test from "ava";
import { Evacuations } from "../../../src/core/routing/evacuations.js";

test("keeps evacuations that an older copy lacks, and adopts none that was taken back since", t => {
    const evacuations = Evacuations.create();
    evacuations.replaceAll([{ dataCentre: "a", revision: 5, isSet: true }], false);
    evacuations.apply([
        { dataCentre: "a", revision: 8, isSet: false },
        { dataCentre: "b", revision: 9, isSet: true },
    ]);
    evacuations.replaceAll([{ dataCentre: "a", revision: 5, isSet: true }], true);
    t.deepEqual([...evacuations.list()], ["b"]);
    // Written after the restore.
    evacuations.replaceAll([{ dataCentre: "a", revision: 7, isSet: true }, {
        dataCentre: "c",
        revision: 6,
        isSet: true,
    }], true);
    t.deepEqual([...evacuations.list()], ["b", "a", "c"]);
    evacuations.replaceAll([{ dataCentre: "c", revision: 6, isSet: true }], false);
    t.deepEqual([...evacuations.list()], ["c"]);
});
