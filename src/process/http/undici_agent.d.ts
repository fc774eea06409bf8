/**
 * The module of undici that holds its agent. The package's main module also
 * loads its fetch, WebSocket, cache and mock code: 12 MB of memory that
 * processes which only dispatch calls don't need.
 */
declare module "undici/lib/dispatcher/agent.js" {
  export { Agent as default } from "undici";
}
