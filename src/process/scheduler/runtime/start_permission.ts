/**
 * Until when tasks may be started in this data centre.
 *
 * @module
 */

import type { DataCentreId } from "../../../base/identity.ts";
import type { ConfigurationSource } from "../../configuration/configuration_source.ts";

/** Options of {@link StartPermission}. */
export interface StartPermissionOptions {
  readonly configuration: ConfigurationSource;
  readonly dataCentre: DataCentreId;
}

/**
 * Permits starts for `startPermissionMs` after this instance's copy of the
 * configuration was last known to be the newest, and only while the copy says
 * that the data centre is in.
 */
export class StartPermission {
  readonly #options: StartPermissionOptions;

  constructor(options: StartPermissionOptions) {
    this.#options = options;
  }

  /** The end of the permission, by this instance's clock; 0 for none. */
  permittedUntilMs(): number {
    const { configuration, dataCentre } = this.#options;
    const { document } = configuration.current();
    const section = document.dataCentres[dataCentre];
    if (section === undefined || section.status === "out") {
      return 0;
    }
    return configuration.currentAtMs() + section.startPermissionMs;
  }
}
