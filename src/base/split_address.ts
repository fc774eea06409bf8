/**
 * Parses listen addresses from the settings.
 *
 * @module
 */

/** Host and port of an address such as `127.0.0.1:7001` or `[::1]:7001`. */
export function splitAddress(address: string): { host: string; port: number } {
  const colonIndex = address.lastIndexOf(":");
  return {
    host: address.slice(0, colonIndex).replace(/^\[|\]$/g, ""),
    port: Number(address.slice(colonIndex + 1)),
  };
}
