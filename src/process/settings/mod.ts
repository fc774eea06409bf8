/**
 * The settings of one daemon.
 *
 * @module
 */

export { loadSettings, parseSettings } from "./load_settings.ts";
export {
  type InstanceSettings,
  type Settings,
  settingsSchema,
} from "./settings.ts";
