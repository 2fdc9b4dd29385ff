import type { AdoptionEffect } from "../../core/configuration/adoptionEffect.js";
import type { SuspicionEffect } from "../../core/membership/suspicionEffect.js";

/** What the keeper reports after a message. */
export type KeeperEffect = AdoptionEffect | SuspicionEffect;
