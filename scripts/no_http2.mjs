/** In place of Node.js's HTTP/2, which the gateway doesn't speak. */
export const constants = {};
