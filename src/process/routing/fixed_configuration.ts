/**
 * A configuration that never changes, for tests and benchmarks.
 *
 * @module
 */

import { Channel } from "../../base/mod.ts";
import type { ConfigurationVersion } from "../../version/configuration_version.ts";
import { documentSchema } from "../../version/document/document.ts";
import type { ConfigurationSource } from "../configuration/configuration_source.ts";

/** Content of the document; an owner and defaults are filled in. */
export interface FixedConfigurationOptions {
  readonly dataCentres: readonly string[];
  readonly services: Readonly<Record<string, object>>;
}

/** A configuration source with a single version. */
export function fixedConfiguration(
  options: FixedConfigurationOptions,
): ConfigurationSource {
  const owner = "operations";
  const dataCentres = options.dataCentres.map((id) => [
    id,
    { owner, region: "r" },
  ]);
  const services = Object.entries(options.services).map(([id, service]) => [
    id,
    { owner, ...service },
  ]);
  const version: ConfigurationVersion = {
    version: 1,
    acceptedAtMs: 0,
    document: documentSchema.parse({
      formatVersion: 1,
      dataCentres: Object.fromEntries(dataCentres),
      services: Object.fromEntries(services),
    }),
  };
  return {
    current: () => version,
    versions: new Channel<ConfigurationVersion>().stream,
    currentAtMs: () => Number.MAX_SAFE_INTEGER,
  };
}
