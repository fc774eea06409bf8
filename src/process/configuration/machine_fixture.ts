/**
 * Machines at hand, for tests.
 *
 * @module
 * @internal
 */

import { FIXTURE_DOCUMENT } from "./configuration_fixture.ts";
import {
  ConfigurationMachine,
  type ConfigurationMachineOptions,
} from "./configuration_machine.ts";

/** A machine that holds the fixture's document. */
export function bootstrapped(
  options: ConfigurationMachineOptions = {},
): ConfigurationMachine {
  const machine = new ConfigurationMachine(options);
  machine.apply({ kind: "bootstrap", text: FIXTURE_DOCUMENT, atMs: 1 });
  return machine;
}

/** A machine made out of the snapshot of another. */
export function restored(
  machine: ConfigurationMachine,
  options: ConfigurationMachineOptions = {},
): ConfigurationMachine {
  const copy = new ConfigurationMachine(options);
  copy.restore(machine.snapshot()).ifLeft((error) => {
    throw error;
  });
  return copy;
}
