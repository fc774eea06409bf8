/**
 * Listen addresses as the settings write them.
 *
 * @module
 */

/** Host and port of an address such as `127.0.0.1:7001` or `[::1]:7001`. */
export function splitAddress(address: string): { host: string; port: number } {
  const at = address.lastIndexOf(":");
  return {
    host: address.slice(0, at).replace(/^\[|\]$/g, ""),
    port: Number(address.slice(at + 1)),
  };
}
