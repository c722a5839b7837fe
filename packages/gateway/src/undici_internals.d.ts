/** Types for two internal modules of undici, which declares only its main entry. */
declare module "undici/lib/dispatcher/client.js" {
  import { Client } from "undici";
  export default Client;
}
declare module "undici/lib/core/connect.js" {
  import { buildConnector } from "undici";
  export default buildConnector;
}
