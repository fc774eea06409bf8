/**
 * What the rest of the daemon needs of the configuration.
 *
 * @module
 */

import type { Stream } from "most";
import type { ConfigurationVersion } from "../../version/configuration_version.ts";

/** This instance's verified copy of the configuration. */
export interface ConfigurationSource {
  current(): ConfigurationVersion;
  /** Every version that comes into force here, in order, from now on. */
  readonly versions: Stream<ConfigurationVersion>;
  /**
   * The latest moment, by this instance's clock, at which the copy was
   * known to be the newest accepted one.
   */
  currentAtMs(): number;
}
