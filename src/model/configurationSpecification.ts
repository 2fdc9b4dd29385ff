import { applyAdoptionEvent } from "../core/configuration/applyAdoptionEvent.js";
import { buildConfigurationSpecification } from "./buildConfigurationSpecification.js";

/** Model of configuration adoption over the reducer that the daemon uses. */
export const configurationSpecification = buildConfigurationSpecification(applyAdoptionEvent, 2);
