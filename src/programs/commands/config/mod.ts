/**
 * Commands about the configuration document: `config`, `datacentre` and `key`.
 *
 * @module
 */

export {
  checkConfiguration,
  CONFIG_CHECK_EXIT,
  type ConfigCheckOptions,
} from "./config_check.ts";
export { type ConfigEditOptions, editConfiguration } from "./config_edit.ts";
export { type ConfigGetOptions, getConfiguration } from "./config_get.ts";
export {
  type ConfigHistoryOptions,
  showConfigurationHistory,
} from "./config_history.ts";
export { validateConfiguration } from "./config_validate.ts";
export {
  type DataCentreStatusOptions,
  setDataCentreStatus,
} from "./data_centre_status.ts";
export { type KeyHashOptions, printKeyHash } from "./key_hash.ts";
export { KEY_VARIABLE, requireKey } from "./team_key_option.ts";
