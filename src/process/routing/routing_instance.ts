/**
 * An instance and its location.
 *
 * @module
 */

import type {
  DataCentreId,
  InstanceId,
  RegionId,
} from "../../base/identity.ts";

/** One instance, as named in the settings. */
export interface RoutingInstance {
  readonly id: InstanceId;
  readonly dataCentre: DataCentreId;
  readonly region: RegionId;
}
