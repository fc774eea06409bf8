/**
 * The read interface of the configuration for the rest of the daemon.
 *
 * @module
 */

import type { Stream } from "most";
import type { ConfigurationVersion } from "../../version/configuration_version.ts";

/** This instance's copy of the configuration. */
export interface ConfigurationSource {
  current(): ConfigurationVersion;
  /** Emits each later version when it comes into force here, in order. */
  readonly versions: Stream<ConfigurationVersion>;
  /**
   * The latest time, by this instance's clock, at which the copy was known to
   * be the newest accepted version.
   */
  currentAtMs(): number;
}
