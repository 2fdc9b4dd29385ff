import type { AdoptionEffect } from "../../core/configuration/adoptionEffect.js";
import type { SuspicionEffect } from "../../core/membership/suspicionEffect.js";

/** Event that the configuration manager counts and logs after a message. */
export type ManagerEffect = AdoptionEffect | SuspicionEffect;
