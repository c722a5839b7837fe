/** The library types its whole face only; the gateway loads these two parts. */
declare module "undici/lib/dispatcher/client.js" {
  import { Client } from "undici";
  export default Client;
}
declare module "undici/lib/core/connect.js" {
  import { buildConnector } from "undici";
  export default buildConnector;
}
