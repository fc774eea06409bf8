/**
 * Log lines by `tslog`.
 *
 * @module
 */

import { Logger } from "tslog";
import type { Settings } from "../settings/mod.ts";

/** The levels of the settings as `tslog` numbers them. */
const TSLOG_LEVELS = { debug: 2, info: 3, warn: 4, error: 5 } as const;

/** The logger that the settings ask for; it writes to standard output. */
export function createLogger(settings: Settings["log"]): Logger<unknown> {
  return new Logger({
    name: "sesamethreadd",
    type: settings.format,
    minLevel: TSLOG_LEVELS[settings.level],
    hideLogPositionForProduction: true,
  });
}
