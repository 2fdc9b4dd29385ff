import type { ClusterView } from "./clusterView.js";
import type { Instance } from "./instance.js";
import { rankInstances } from "./rankInstances.js";

/** Ranks the instances of a data centre that are not leaving for the role of reader, suspected ones last. */
export function rankReaders(view: ClusterView, dataCentre: string): readonly Instance[] {
    const live = view.instances.instances.filter(instance =>
        instance.dataCentre === dataCentre && !view.leaving.has(instance.name)
    );
    const ranked = rankInstances("reader", live);
    return [
        ...ranked.filter(instance => !view.suspected.has(instance.name)),
        ...ranked.filter(instance => view.suspected.has(instance.name)),
    ];
}
