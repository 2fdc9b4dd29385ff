/** Key of the second client account of a test fleet, which is never revoked. */
export const OTHER_ACCOUNT_KEY = "key-of-the-other-account";
