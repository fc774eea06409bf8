import test from "ava";
import { isSocketAddress } from "./socket_address.ts";

test("an address has an IP address and a port from 1 to 65535", (t) => {
  for (const text of ["127.0.0.1:1", "10.1.0.9:65535", "[::1]:7001"]) {
    t.true(isSocketAddress(text), text);
  }
  const odd = [
    "",
    ":80",
    "10.1.0.9",
    "10.1.0.9:",
    "10.1.0.9:0",
    "10.1.0.9:65536",
    "10.1.0.9:99999",
    "10.1.0.9:1e3",
    "10.1.0.999:80",
    "10.1.0:80",
    "::1:80",
    "[::1:80",
    "[10.1.0.9]:80",
    "host:80",
  ];
  for (const text of odd) {
    t.false(isSocketAddress(text), text);
  }
});
