/** Name of the only target of the slot lease model. */
export const targetName = "t";
