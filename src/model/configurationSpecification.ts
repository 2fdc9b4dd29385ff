import { applyAdoptionEvent } from "../core/configuration/applyAdoptionEvent.js";
import { buildConfigurationSpecification } from "./buildConfigurationSpecification.js";

/** Specification of configuration adoption with the reducer of the daemon. */
export const configurationSpecification = buildConfigurationSpecification(applyAdoptionEvent, 2);
