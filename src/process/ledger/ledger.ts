/**
 * Access to the ledgers of all data centres: to the local one through the
 * replicated log, to the others through peers in their data centre.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import type { Subscription } from "most";
import type { Clock } from "../../base/clock.ts";
import type { ErrorKind } from "../../base/error_kind.ts";
import type { DataCentreId, InstanceId } from "../../base/identity.ts";
import { failure, type Result } from "../../base/sesame_error.ts";
import type {
  PeerChannel,
  PeerNetwork,
  Received,
} from "../../connection/peer_network.ts";
import type { ReplicatedLog } from "../replication/replicated_log.ts";
import {
  decodeLedgerPeerMessage,
  type LedgerCall,
  type LedgerPeerMessage,
} from "./ledger_peer_message.ts";
import type { LedgerCommand, LedgerReply } from "./ledger_record.ts";
import type { LedgerState } from "./ledger_state.ts";

/** Options of {@link Ledger}. */
export interface LedgerOptions {
  readonly dataCentre: DataCentreId;
  /** The data centre of each peer. */
  readonly peerDataCentres: ReadonlyMap<InstanceId, DataCentreId>;
  /** Greater than in any earlier run of this instance. */
  readonly incarnation: number;
  readonly clock: Clock;
  readonly network: PeerNetwork;
  /** The log of this data centre's group. */
  readonly log: ReplicatedLog<LedgerCommand, LedgerReply>;
  /** The local replica, to which that log is applied. */
  readonly state: LedgerState;
}

/** Maximum number of peers that a call is sent to, one after another. */
const MAX_PEERS_TRIED = 3;

/** Minimum timeout of a call to one peer, unless the deadline is earlier. */
const MIN_PEER_TIMEOUT_MS = 250;

interface PendingCall {
  readonly settle: (result: Result<LedgerReply>) => void;
}

/** Sends calls to the ledger of any data centre. */
export class Ledger {
  readonly #options: LedgerOptions;
  readonly #channel: PeerChannel<LedgerPeerMessage>;
  readonly #subscription: Subscription<Received<LedgerPeerMessage>>;
  readonly #pendingCalls = new Map<number, PendingCall>();
  #lastCallId = 0;

  constructor(options: LedgerOptions) {
    this.#options = options;
    this.#channel = options.network.channel({
      name: "ledger",
      decode: decodeLedgerPeerMessage,
    });
    this.#subscription = this.#channel.received.subscribe({
      next: (received) => this.#receive(received),
      error: () => undefined,
      complete: () => undefined,
    });
  }

  /**
   * Executes the call on the ledger of data centre `home`. It fails with
   * `unavailable` if the ledger was certainly not changed, and with
   * `outcomeUnknown` if it may have been.
   */
  execute(
    call: LedgerCall,
    options: { home: DataCentreId; deadlineMs: number },
  ): Promise<Result<LedgerReply>> {
    return options.home === this.#options.dataCentre
      ? this.#executeLocally(call, options.deadlineMs)
      : this.#executeRemotely(call, options);
  }

  close(): void {
    this.#subscription.unsubscribe();
    this.#channel.close();
    for (const pending of [...this.#pendingCalls.values()]) {
      pending.settle(
        failure("outcomeUnknown", { detail: "The ledger was closed." }),
      );
    }
  }

  async #executeLocally(
    call: LedgerCall,
    deadlineMs: number,
  ): Promise<Result<LedgerReply>> {
    const { log, state } = this.#options;
    if (call.kind !== "find") {
      return log.propose(call, { deadlineMs });
    }
    const barrier = await log.readBarrier({ deadlineMs });
    return barrier.map(() => state.find(call.key, call.digest));
  }

  /**
   * Tries one peer after another until one gives a conclusive result. After an
   * unknown outcome the next peer is tried too, so the call may be executed
   * more than once.
   */
  async #executeRemotely(
    call: LedgerCall,
    options: { home: DataCentreId; deadlineMs: number },
  ): Promise<Result<LedgerReply>> {
    const peers = this.#peersIn(options.home).slice(0, MAX_PEERS_TRIED);
    let isUnchanged = true;
    for (const [index, peer] of peers.entries()) {
      const remainingMs = options.deadlineMs - this.#options.clock.nowMs();
      if (remainingMs <= 0) {
        break;
      }
      const shareMs = Math.max(
        MIN_PEER_TIMEOUT_MS,
        remainingMs / (peers.length - index),
      );
      const timeoutMs = Math.min(remainingMs, shareMs);
      const result = await this.#sendToPeer(peer, call, timeoutMs);
      const kind = result.caseOf<ErrorKind | undefined>({
        Left: (error) => error.kind,
        Right: () => undefined,
      });
      if (kind === undefined || isConclusive(kind)) {
        return result;
      }
      isUnchanged &&= kind === "unavailable";
    }
    const detail = `The ledger of ${options.home} can't be reached.`;
    return failure(isUnchanged ? "unavailable" : "outcomeUnknown", { detail });
  }

  #peersIn(home: DataCentreId): InstanceId[] {
    return this.#options.network.linkedPeerIds().filter((peer) =>
      this.#options.peerDataCentres.get(peer) === home
    );
  }

  /**
   * Sends the call to one peer. Fails with `unavailable` if it was not sent,
   * `outcomeUnknown` after the timeout, or the error that the peer reports.
   */
  #sendToPeer(
    peer: InstanceId,
    call: LedgerCall,
    timeoutMs: number,
  ): Promise<Result<LedgerReply>> {
    const askId = ++this.#lastCallId;
    return new Promise((resolve) => {
      const timer = this.#options.clock.after(timeoutMs, () => {
        settle(failure("outcomeUnknown"));
      });
      const settle = (result: Result<LedgerReply>): void => {
        timer.close();
        this.#pendingCalls.delete(askId);
        resolve(result);
      };
      this.#pendingCalls.set(askId, { settle });
      const { incarnation } = this.#options;
      const kind = "ask";
      const message = {
        kind,
        incarnation,
        askId,
        timeoutMs,
        question: call,
      } as const;
      if (!this.#channel.send(peer, message)) {
        settle(
          failure("unavailable", {
            detail: "The message to the peer was dropped.",
          }),
        );
      }
    });
  }

  #receive({ from, message }: Received<LedgerPeerMessage>): void {
    if (message.kind === "ask") {
      void this.#handleCall(from, message);
      return;
    }
    const isOwnReply = message.incarnation === this.#options.incarnation;
    const pending = isOwnReply
      ? this.#pendingCalls.get(message.askId)
      : undefined;
    if (message.reply !== undefined) {
      pending?.settle(Right(message.reply));
    } else {
      pending?.settle(failure(message.error ?? "outcomeUnknown"));
    }
  }

  async #handleCall(
    from: InstanceId,
    request: Extract<LedgerPeerMessage, { kind: "ask" }>,
  ): Promise<void> {
    const { askId, incarnation } = request;
    const deadlineMs = this.#options.clock.nowMs() + request.timeoutMs;
    const result = await this.#executeLocally(request.question, deadlineMs);
    const message = result.caseOf<LedgerPeerMessage>({
      Left: (error) => ({
        kind: "reply",
        incarnation,
        askId,
        error: error.kind,
      }),
      Right: (reply) => ({ kind: "reply", incarnation, askId, reply }),
    });
    this.#channel.send(from, message);
  }
}

/** Whether to return the error rather than try another peer. */
function isConclusive(kind: ErrorKind): boolean {
  return kind !== "unavailable" && kind !== "outcomeUnknown";
}
