/**
 * Configuration machines for tests.
 *
 * @module
 * @internal
 */

import { FIXTURE_DOCUMENT } from "./configuration_fixture.ts";
import {
  ConfigurationMachine,
  type ConfigurationMachineOptions,
} from "./configuration_machine.ts";

/** A machine bootstrapped with {@link FIXTURE_DOCUMENT}. */
export function bootstrappedMachine(
  options: ConfigurationMachineOptions = {},
): ConfigurationMachine {
  const machine = new ConfigurationMachine(options);
  machine.apply({ kind: "bootstrap", text: FIXTURE_DOCUMENT, atMs: 1 });
  return machine;
}

/** A new machine restored from the snapshot of another. */
export function restoredMachine(
  machine: ConfigurationMachine,
  options: ConfigurationMachineOptions = {},
): ConfigurationMachine {
  const copy = new ConfigurationMachine(options);
  copy.restore(machine.snapshot()).ifLeft((error) => {
    throw error;
  });
  return copy;
}
