/**
 * Writes log lines with `tslog`.
 *
 * @module
 */

import { Logger } from "tslog";
import type { Settings } from "../settings/mod.ts";

/** The numbers that `tslog` gives to the levels of the settings. */
const TSLOG_LEVELS = { debug: 2, info: 3, warn: 4, error: 5 } as const;

/** Creates a logger that writes to standard output. */
export function createLogger(settings: Settings["log"]): Logger<unknown> {
  return new Logger({
    name: "sesamethreadd",
    type: settings.format,
    minLevel: TSLOG_LEVELS[settings.level],
    hideLogPositionForProduction: true,
  });
}
