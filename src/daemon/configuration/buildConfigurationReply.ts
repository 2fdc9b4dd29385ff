import type { AdoptionState } from "../../core/configuration/adoptionState.js";
import { compareVersions } from "../../core/configuration/compareVersions.js";
import type { ConfigurationVersion } from "../../core/configuration/configurationVersion.js";
import { findConfigurationDelta } from "../../core/configuration/findConfigurationDelta.js";
import type { ConfigurationReply } from "../../transport/generated/baobabspread/peer/ConfigurationReply.js";
import type { ConfigurationRequest__Output } from "../../transport/generated/baobabspread/peer/ConfigurationRequest.js";
import type { ManagerState } from "./managerState.js";

/** Builds the reply to a peer that requests a newer configuration or instance list. */
export function buildConfigurationReply(
    state: ManagerState,
    request: ConfigurationRequest__Output,
): ConfigurationReply {
    const known = { revision: request.knownRevision, digest: request.knownDigest };
    const listRevision = Math.max(0, state.instances.revision);
    return {
        revision: state.adoption.inForce?.revision ?? 0,
        digest: state.adoption.inForce?.digest ?? "",
        ...buildBody(state.adoption, known),
        instanceListRevision: listRevision,
        instanceList: listRevision > request.knownInstanceListRevision ? JSON.stringify(state.instances) : "",
    };
}

function buildBody(
    adoption: AdoptionState,
    known: ConfigurationVersion,
): { readonly form: string; readonly body: string; } {
    const bundle = adoption.inForce;
    if (!bundle || compareVersions(bundle, known) <= 0) {
        return { form: "none", body: "" };
    }
    const delta = findConfigurationDelta(adoption, known);
    if (delta) {
        return { form: "delta", body: JSON.stringify(delta) };
    }
    const { revision, digest, configuration } = bundle;
    return { form: "full", body: JSON.stringify({ revision, digest, configuration }) };
}
