/** Era of a store that names none; lower than any that is named. */
export const NO_ERA = -1;
