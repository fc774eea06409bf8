/**
 * Checks addresses that others announce.
 *
 * @module
 */

import { isIPv4, isIPv6 } from "node:net";
import { splitAddress } from "./split_address.ts";

/**
 * Whether a text is an IP address and a port that can be connected to, such as
 * `127.0.0.1:7001` or `[::1]:7001`.
 */
export function isSocketAddress(text: string): boolean {
  const { host, port } = splitAddress(text);
  const isHost = text.startsWith("[") ? isIPv6(host) : isIPv4(host);
  const hasPort = /^(\[.*\]|[^[:]*):\d{1,5}$/.test(text);
  return isHost && hasPort && port >= 1 && port <= 65_535;
}
