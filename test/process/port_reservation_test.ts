import test from "ava";
import { reservePorts } from "./port_reservation.ts";

// Guards against two process tests, or a program on port 0, that take a port.
test("reservations at the same time share no port and none of port 0's range", async (t) => {
  const reservations = await Promise.all(
    Array.from({ length: 20 }, () => reservePorts()),
  );
  const ports = reservations.flatMap((reservation) => reservation.ports);
  t.is(new Set(ports).size, ports.length);
  t.true(ports.every((port) => port > 1_024 && port < 32_768));
  await Promise.all(reservations.map((reservation) => reservation.close()));
});
