/**
 * Commands and reads that pass between a member and its leader.
 *
 * @module
 */

import { pack, unpack } from "msgpackr";
import type { Clock } from "../../base/clock.ts";
import type { InstanceId } from "../../base/identity.ts";
import type { PeerChannel } from "../../connection/peer_network.ts";
import type { CoreDriver } from "./core_driver.ts";
import { type PeerAnswer, PeerCalls, SeenCalls } from "./peer_calls.ts";
import type { ProposalEnd } from "./proposal_table.ts";
import type {
  RaftEnvelope,
  RaftMessage,
  RaftMessageOf,
} from "./raft_message.ts";

/** How long a question about what to read waits for its answer. */
const READ_ANSWER_MS = 600;

const NO_BYTES = new Uint8Array();

/** What the calls are made from. */
export interface LeaderCallsOptions<Command, Outcome> {
  readonly driver: CoreDriver<Command, Outcome>;
  readonly channel: PeerChannel<RaftEnvelope>;
  readonly clock: Clock;
}

/** Asks the leader, and serves others while this member leads. */
export class LeaderCalls<Command, Outcome> {
  #driver: CoreDriver<Command, Outcome>;
  #channel: PeerChannel<RaftEnvelope>;
  #clock: Clock;
  #calls: PeerCalls;
  #seen = new SeenCalls();

  constructor(options: LeaderCallsOptions<Command, Outcome>) {
    this.#driver = options.driver;
    this.#channel = options.channel;
    this.#clock = options.clock;
    this.#calls = new PeerCalls({ nowMs: options.clock.nowMs() });
  }

  /** Puts a command into the leader's log, here or there. */
  async propose(
    data: Uint8Array,
    deadlineMs: number,
  ): Promise<ProposalEnd<Outcome>> {
    const { leaderId, role, term } = this.#driver.view;
    if (role === "leader") {
      return await this.#awaitEnd(deadlineMs, (end) => {
        this.#driver.propose(data, end);
      });
    }
    if (leaderId === undefined) {
      return { kind: "notAppended" };
    }
    let id = 0;
    const end = await this.#awaitEnd(deadlineMs, (listener) => {
      id = this.#calls.open((answer) => listener(readEnd(answer)));
      if (!this.#tell(leaderId, { kind: "propose", id, term, data })) {
        listener({ kind: "notAppended" });
      }
    });
    this.#calls.abandon(id);
    return end;
  }

  /** What must be applied for a read; undefined when nobody can tell now. */
  async readIndex(): Promise<number | undefined> {
    const { leaderId, role, commitIndex } = this.#driver.view;
    if (role === "leader") {
      return this.#driver.isLeaseHeld() ? commitIndex : undefined;
    }
    if (leaderId === undefined) {
      return undefined;
    }
    let id = 0;
    const answer = await new Promise<PeerAnswer | undefined>((resolve) => {
      const timer = this.#clock.after(
        READ_ANSWER_MS,
        () => resolve(undefined),
      );
      id = this.#calls.open((found) => {
        timer.close();
        resolve(found);
      });
      this.#tell(leaderId, { kind: "read", id });
    });
    this.#calls.abandon(id);
    return answer?.kind === "readReply" ? answer.index : undefined;
  }

  /** Deals with a call or an answer; false when it is the core's. */
  receive(from: InstanceId, envelope: RaftEnvelope): boolean {
    const { message } = envelope;
    switch (message.kind) {
      case "propose":
        this.#serveProposal(from, envelope, message);
        return true;
      case "read":
        this.#serveRead(from, envelope, message);
        return true;
      case "proposeReply":
      case "readReply":
        this.#calls.answer(message);
        return true;
      default:
        return false;
    }
  }

  /** No answers are awaited any more. */
  stop(): void {
    this.#calls.endAll();
  }

  #awaitEnd(
    deadlineMs: number,
    begin: (listener: (end: ProposalEnd<Outcome>) => void) => void,
  ): Promise<ProposalEnd<Outcome>> {
    return new Promise((resolve) => {
      const timer = this.#clock.after(
        deadlineMs - this.#clock.nowMs(),
        () => resolve({ kind: "unknown" }),
      );
      begin((end) => {
        timer.close();
        resolve(end);
      });
    });
  }

  #tell(to: InstanceId, message: RaftMessage): boolean {
    const { formationId, incarnation } = this.#driver.view;
    return this.#channel.send(to, {
      ...(formationId === undefined ? {} : { formationId }),
      fromIncarnation: incarnation,
      toIncarnation: 0,
      message,
    });
  }

  #isOwnGroup(envelope: RaftEnvelope): boolean {
    const { formationId } = this.#driver.view;
    return formationId !== undefined && envelope.formationId === formationId;
  }

  #serveProposal(
    from: InstanceId,
    envelope: RaftEnvelope,
    message: RaftMessageOf<"propose">,
  ): void {
    const isNew = this.#seen.isNew(from, message.id);
    if (!isNew || !this.#isOwnGroup(envelope)) {
      return;
    }
    const answer = (end: ProposalEnd<Outcome>) => {
      this.#tell(from, {
        kind: "proposeReply",
        id: message.id,
        status: end.kind,
        data: end.kind === "applied" ? pack(end.outcome) : NO_BYTES,
      });
    };
    // In another term the caller may have been told already that the command
    // was not taken.
    if (message.term === this.#driver.view.term) {
      this.#driver.propose(message.data, answer);
    } else {
      answer({ kind: "notAppended" });
    }
  }

  #serveRead(
    from: InstanceId,
    envelope: RaftEnvelope,
    message: RaftMessageOf<"read">,
  ): void {
    if (!this.#isOwnGroup(envelope)) {
      return;
    }
    const isHeld = this.#driver.isLeaseHeld();
    this.#tell(from, {
      kind: "readReply",
      id: message.id,
      ...(isHeld ? { index: this.#driver.view.commitIndex } : {}),
    });
  }
}

function readEnd<Outcome>(
  answer: PeerAnswer | undefined,
): ProposalEnd<Outcome> {
  if (answer?.kind !== "proposeReply") {
    return { kind: "unknown" };
  }
  return answer.status === "applied"
    ? { kind: "applied", outcome: unpack(answer.data) as Outcome }
    : { kind: answer.status };
}
