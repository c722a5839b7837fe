/** Stub that replaces `node:http2` in the bundle: the gateway uses no HTTP/2. */
export const constants = {};
