/**
 * The claim on one non-idempotent request in its home's ledger: taken before
 * any byte is sent, settled when no more can become known.
 *
 * @module
 */

import { createHash } from "node:crypto";
import type { Clock } from "../../base/clock.ts";
import type { DataCentreId } from "../../base/identity.ts";
import { failure, type Result } from "../../base/sesame_error.ts";
import type { RequestRecord } from "../../request/request_record.ts";
import type {
  Ledger,
  LedgerCommand,
  LedgerReply,
  RecordedOutcome,
} from "../ledger/mod.ts";
import type { FinalKnowledge } from "./routed_call.ts";

/** What a claim is built from. */
export interface RequestClaimOptions {
  readonly ledger: Pick<Ledger, "ask">;
  readonly clock: Clock;
  readonly record: RequestRecord;
  readonly home: DataCentreId;
  /** Never used twice, over all instances and their runs. */
  readonly claimant: string;
  readonly retentionMs: number;
}

/** The first wait before a held claim is asked for again; it doubles. */
const HELD_WAIT_MS = 10;
const HELD_WAIT_LIMIT_MS = 200;

/** How long the record of an end is tried for. */
const SETTLE_MS = 10_000;
const SETTLE_TRY_MS = 2_000;

/** One call's claim. */
export class RequestClaim {
  readonly #options: RequestClaimOptions;
  readonly #key: string;
  readonly #digest: string;

  constructor(options: RequestClaimOptions) {
    const { record } = options;
    this.#options = options;
    this.#key = `${record.clientAccount ?? ""}/${record.requestId}`;
    this.#digest = digestOf(record);
  }

  /**
   * Asks for the claim, and again while another holds it, till the request's
   * deadline. `held` means that the other hadn't ended by then.
   */
  async take(): Promise<Result<LedgerReply>> {
    const { clock, record } = this.#options;
    let waitMs = HELD_WAIT_MS;
    for (;;) {
      const result = await this.#ask(this.#claimCommand());
      const isHeld = result.map(({ kind }) => kind === "held").orDefault(false);
      const leftMs = record.deadlineMs - clock.nowMs();
      if (!isHeld || leftMs <= waitMs) {
        return result;
      }
      const pauseMs = waitMs;
      await new Promise<void>((resolve) => clock.after(pauseMs, resolve));
      waitMs = Math.min(HELD_WAIT_LIMIT_MS, waitMs * 2);
    }
  }

  /** What the ledger knows, without a claim. */
  find(): Promise<Result<LedgerReply>> {
    const { ledger, home, record } = this.#options;
    const { deadlineMs } = record;
    return ledger.ask({
      kind: "find",
      key: this.#key,
      digest: this.#digest,
    }, { home, deadlineMs });
  }

  /** Records what became known; gives the claim up when nothing was run. */
  async settle(knowledge: FinalKnowledge): Promise<void> {
    const { clock, ledger, home } = this.#options;
    const endMs = clock.nowMs() + SETTLE_MS;
    while (clock.nowMs() < endMs) {
      const deadlineMs = clock.nowMs() + SETTLE_TRY_MS;
      const command = this.#settleCommand(knowledge);
      const result = await ledger.ask(command, { home, deadlineMs });
      if (result.isRight()) {
        return;
      }
      await new Promise<void>((resolve) =>
        clock.after(HELD_WAIT_LIMIT_MS, resolve)
      );
    }
  }

  #ask(command: LedgerCommand): Promise<Result<LedgerReply>> {
    const { ledger, home, record, clock } = this.#options;
    const { deadlineMs } = record;
    if (deadlineMs <= clock.nowMs()) {
      const detail = "The ledger gave no answer before the deadline.";
      return Promise.resolve(failure("outcomeUnknown", { detail }));
    }
    return ledger.ask(command, { home, deadlineMs });
  }

  #common() {
    return {
      formatVersion: 1,
      key: this.#key,
      claimant: this.#options.claimant,
      atMs: this.#options.clock.nowMs(),
    } as const;
  }

  #claimCommand(): LedgerCommand {
    const { record, retentionMs } = this.#options;
    return {
      ...this.#common(),
      kind: "claim",
      digest: this.#digest,
      expiresAtMs: record.deadlineMs + retentionMs,
    };
  }

  #settleCommand(knowledge: FinalKnowledge): LedgerCommand {
    if (knowledge.kind === "notRun") {
      return { ...this.#common(), kind: "release" };
    }
    const { clock, retentionMs } = this.#options;
    return {
      ...this.#common(),
      kind: "end",
      outcome: outcomeOf(knowledge),
      expiresAtMs: clock.nowMs() + retentionMs,
    };
  }
}

function outcomeOf(
  knowledge: Exclude<FinalKnowledge, { kind: "notRun" }>,
): RecordedOutcome {
  if (knowledge.kind === "unknown") {
    return { kind: "unknown" };
  }
  const { httpStatus, contentType, body } = knowledge.routed.answer;
  return {
    kind: "answered",
    httpStatus,
    ...(contentType === undefined ? {} : { contentType }),
    body: new Uint8Array(body),
  };
}

/** The same for the same content, whatever its class and timeout. */
function digestOf(record: RequestRecord): string {
  const head = [record.service, record.path, record.contentType ?? ""];
  return createHash("sha256")
    .update(JSON.stringify(head))
    .update(record.body)
    .digest("base64url");
}
