/**
 * The ledger that prevents non-idempotent requests from running twice.
 *
 * @module
 */

export { Ledger, type LedgerOptions } from "./ledger.ts";
export {
  type LedgerCommand,
  ledgerCommandSchema,
  type LedgerReply,
  type RecordedOutcome,
} from "./ledger_record.ts";
export {
  DEFAULT_LEDGER_LIMITS,
  type LedgerLimits,
  LedgerState,
} from "./ledger_state.ts";
export { HOME_SEPARATOR, requestHome } from "./request_home.ts";
