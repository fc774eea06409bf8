/**
 * This instance's access to the ledgers of all data centres: to its own
 * through the replicated log, to the others through a peer there.
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
  type LedgerPeerMessage,
  type LedgerQuestion,
} from "./ledger_peer_message.ts";
import type { LedgerCommand, LedgerReply } from "./ledger_record.ts";
import type { LedgerState } from "./ledger_state.ts";

/** What a ledger is built from. */
export interface LedgerOptions {
  readonly dataCentre: DataCentreId;
  /** The data centre of each peer. */
  readonly peerDataCentres: ReadonlyMap<InstanceId, DataCentreId>;
  /** Greater than at any earlier start of this instance. */
  readonly incarnation: number;
  readonly clock: Clock;
  readonly network: PeerNetwork;
  /** The log of this data centre's group. */
  readonly log: ReplicatedLog<LedgerCommand, LedgerReply>;
  /** The state that this member applies that log to. */
  readonly state: LedgerState;
}

/** The peers that one question may be put to. */
const PEERS_ASKED = 3;

/** The shortest time worth asking one peer. */
const PEER_ASK_MS = 250;

interface OpenAsk {
  readonly settle: (result: Result<LedgerReply>) => void;
}

/** Puts questions to the ledger of any data centre. */
export class Ledger {
  readonly #options: LedgerOptions;
  readonly #channel: PeerChannel<LedgerPeerMessage>;
  readonly #subscription: Subscription<Received<LedgerPeerMessage>>;
  readonly #asks = new Map<number, OpenAsk>();
  #lastAskId = 0;

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
   * The answer of the home's ledger. `unavailable` means that nothing was
   * changed for certain, `outcomeUnknown` that it may have been.
   */
  ask(
    question: LedgerQuestion,
    options: { home: DataCentreId; deadlineMs: number },
  ): Promise<Result<LedgerReply>> {
    return options.home === this.#options.dataCentre
      ? this.#askOwn(question, options.deadlineMs)
      : this.#askPeers(question, options);
  }

  close(): void {
    this.#subscription.unsubscribe();
    this.#channel.close();
    for (const ask of [...this.#asks.values()]) {
      ask.settle(failure("outcomeUnknown", { detail: "The ledger closed." }));
    }
  }

  async #askOwn(
    question: LedgerQuestion,
    deadlineMs: number,
  ): Promise<Result<LedgerReply>> {
    const { log, state } = this.#options;
    if (question.kind !== "find") {
      return log.propose(question, { deadlineMs });
    }
    const barrier = await log.readBarrier({ deadlineMs });
    return barrier.map(() => state.find(question.key, question.digest));
  }

  /** Asks one peer after another; a question may so be put twice. */
  async #askPeers(
    question: LedgerQuestion,
    options: { home: DataCentreId; deadlineMs: number },
  ): Promise<Result<LedgerReply>> {
    const peers = this.#peersIn(options.home).slice(0, PEERS_ASKED);
    let isCertain = true;
    for (const [at, peer] of peers.entries()) {
      const leftMs = options.deadlineMs - this.#options.clock.nowMs();
      if (leftMs <= 0) {
        break;
      }
      const shareMs = Math.max(PEER_ASK_MS, leftMs / (peers.length - at));
      const timeoutMs = Math.min(leftMs, shareMs);
      const result = await this.#askPeer(peer, question, timeoutMs);
      const kind = result.caseOf<ErrorKind | undefined>({
        Left: (error) => error.kind,
        Right: () => undefined,
      });
      if (kind === undefined || isFinal(kind)) {
        return result;
      }
      isCertain &&= kind === "unavailable";
    }
    const detail = `The ledger of ${options.home} can't be reached.`;
    return failure(isCertain ? "unavailable" : "outcomeUnknown", { detail });
  }

  #peersIn(home: DataCentreId): InstanceId[] {
    return this.#options.network.linkedPeerIds().filter((peer) =>
      this.#options.peerDataCentres.get(peer) === home
    );
  }

  /** `unavailable` when not done for certain, `outcomeUnknown` otherwise. */
  #askPeer(
    peer: InstanceId,
    question: LedgerQuestion,
    timeoutMs: number,
  ): Promise<Result<LedgerReply>> {
    const askId = ++this.#lastAskId;
    return new Promise((resolve) => {
      const timer = this.#options.clock.after(timeoutMs, () => {
        settle(failure("outcomeUnknown"));
      });
      const settle = (result: Result<LedgerReply>): void => {
        timer.close();
        this.#asks.delete(askId);
        resolve(result);
      };
      this.#asks.set(askId, { settle });
      const { incarnation } = this.#options;
      const kind = "ask";
      const message = {
        kind,
        incarnation,
        askId,
        timeoutMs,
        question,
      } as const;
      if (!this.#channel.send(peer, message)) {
        settle(failure("unavailable", { detail: "The link is down." }));
      }
    });
  }

  #receive({ from, message }: Received<LedgerPeerMessage>): void {
    if (message.kind === "ask") {
      void this.#answer(from, message);
      return;
    }
    const isOwn = message.incarnation === this.#options.incarnation;
    const ask = isOwn ? this.#asks.get(message.askId) : undefined;
    if (message.reply !== undefined) {
      ask?.settle(Right(message.reply));
    } else {
      ask?.settle(failure(message.error ?? "outcomeUnknown"));
    }
  }

  async #answer(
    from: InstanceId,
    ask: Extract<LedgerPeerMessage, { kind: "ask" }>,
  ): Promise<void> {
    const { askId, incarnation } = ask;
    const deadlineMs = this.#options.clock.nowMs() + ask.timeoutMs;
    const result = await this.#askOwn(ask.question, deadlineMs);
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

/** Whether another peer could say nothing better. */
function isFinal(kind: ErrorKind): boolean {
  return kind !== "unavailable" && kind !== "outcomeUnknown";
}
