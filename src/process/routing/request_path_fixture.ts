/**
 * Simulates the whole request path of three instances over fakes, and checks
 * every result against what was sent.
 *
 * @module
 */

import { FakeClock, SeededRandom } from "../../base/mod.ts";
import { Execution } from "../../base/error_kind.ts";
import { MetricsRegistry } from "../http/mod.ts";
import {
  type LedgerCommand,
  type LedgerReply,
  LedgerState,
} from "../ledger/mod.ts";
import {
  MemoryFault,
  MemoryGroup,
  type MemoryMember,
} from "../ledger/memory_group.ts";
import { FakePeerHub } from "../replication/fake_peer_network.ts";
import type { BackendAttempt, BackendAttemptEnd } from "./backend_client.ts";
import { fixedConfiguration } from "./fixed_configuration.ts";
import { RequestRouting } from "./request_routing.ts";

export const INSTANCES = [
  { id: "e1", dataCentre: "east", region: "r1" },
  { id: "e2", dataCentre: "east", region: "r1" },
  { id: "w1", dataCentre: "west", region: "r2" },
];

const SERVERS = [
  { id: "s1", dataCentre: "east" },
  { id: "s2", dataCentre: "east" },
  { id: "s3", dataCentre: "west" },
];

/** How a simulated server treats one attempt. */
type ServerBehaviour = "answer" | "late" | "lost" | "refused" | "error";

/** Breaks the system on purpose, to test that the oracle notices. */
export interface Mutation {
  /** The ledgers lose all entries from time to time. */
  readonly losesEntries?: boolean;
  /** Instances disagree about the data centres. */
  readonly splitsConfiguration?: boolean;
  /** A lost answer is reported as a request that was never sent. */
  readonly reportsLostAsNotSent?: boolean;
  /** An answer carries the body of another request's answer. */
  readonly mixesAnswers?: boolean;
}

function configurationWith(dataCentres: readonly string[]) {
  return fixedConfiguration({
    dataCentres,
    services: {
      loft: {
        slotsPerServer: 2,
        retryBudgetFraction: 1,
        classes: [{ name: "quote", rank: 0, queueLimit: 2 }],
      },
    },
  });
}

/** The whole request path of three instances over fakes. */
export class RequestPathSimulation {
  readonly #mutation: Mutation;
  readonly #clock = new FakeClock({ startMs: 1_000_000 });
  readonly #random: SeededRandom;
  readonly #hub: FakePeerHub;
  readonly #states = new Map<string, LedgerState>();
  readonly #groups = new Map<string, MemoryGroup<LedgerCommand, LedgerReply>>();
  readonly #routings = new Map<string, RequestRouting>();
  readonly #logs = new Map<string, MemoryMember<LedgerCommand, LedgerReply>>();
  /** How often each request may have reached a server. */
  readonly #sent = new Map<string, number>();
  readonly #incarnations = new Map<string, number>();
  readonly #openCalls = new Map<Promise<void>, string>();
  #lastAnswered = "";
  readonly #silentDataCentres = new Set<string>();
  violation: string | undefined;

  constructor(mutation: Mutation, seed: number) {
    this.#mutation = mutation;
    this.#random = new SeededRandom({ seed });
    this.#hub = new FakePeerHub({
      clock: this.#clock,
      random: new SeededRandom({ seed: seed + 1 }),
      delayMs: () => 2,
    });
    for (const groupId of ["east", "west"]) {
      const state = new LedgerState();
      this.#states.set(groupId, state);
      this.#groups.set(groupId, new MemoryGroup({ groupId, state }));
    }
    INSTANCES.forEach(({ id }) => this.start(id));
  }

  /** Starts the instance, or restarts it as after a crash. */
  start(id: string): void {
    void this.#routings.get(id)?.close();
    for (const [ended, instanceId] of this.#openCalls) {
      if (instanceId === id) {
        this.#openCalls.delete(ended);
      }
    }
    const self = INSTANCES.find((instance) => instance.id === id);
    const group = this.#groups.get(self?.dataCentre ?? "");
    const state = this.#states.get(self?.dataCentre ?? "");
    if (self === undefined || group === undefined || state === undefined) {
      throw new Error(`unknown instance ${id}`);
    }
    const incarnation = (this.#incarnations.get(id) ?? 0) + 1;
    this.#incarnations.set(id, incarnation);
    const log = group.member(id);
    this.#logs.set(id, log);
    const hasOtherConfiguration = this.#mutation.splitsConfiguration === true &&
      id === "e2";
    const peerIds = INSTANCES.map((instance) => instance.id);
    const routing = new RequestRouting({
      self,
      peers: INSTANCES.filter((instance) => instance.id !== id),
      incarnation,
      clock: this.#clock,
      random: new SeededRandom({ seed: incarnation }),
      network: this.#hub.join(id, { peerIds }),
      configuration: configurationWith(
        hasOtherConfiguration ? ["west"] : ["east", "west"],
      ),
      ledgerLog: log,
      ledgerState: state,
      metrics: new MetricsRegistry(),
      client: {
        send: (attempt) => this.#send(attempt),
        close: () => Promise.resolve(),
      },
    });
    this.#routings.set(id, routing);
    this.#announceTo(routing, self.dataCentre);
  }

  /** Sends a caller's request and checks its result when it arrives. */
  call(
    id: string,
    options: { request: string; content: string; timeoutMs: number },
  ): void {
    const ended = this.#checkCall(id, options);
    this.#openCalls.set(ended, id);
    void ended.then(() => this.#openCalls.delete(ended));
  }

  setLogFault(id: string, fault: MemoryFault): void {
    const log = this.#logs.get(id);
    if (log !== undefined) {
      log.fault = fault;
    }
  }

  setLinkFaults(rate: number, jitterMs: number): void {
    Object.assign(this.#hub.faults, {
      lossRate: rate,
      duplicateRate: rate,
      jitterMs,
    });
  }

  /** Stops or resumes the announcements of the data centre's servers. */
  setSilent(dataCentre: string, isSilent: boolean): void {
    if (isSilent) {
      this.#silentDataCentres.add(dataCentre);
    } else {
      this.#silentDataCentres.delete(dataCentre);
    }
  }

  isolate(id: string): void {
    this.#hub.isolate(id);
  }

  heal(): void {
    this.#hub.heal();
  }

  loseEntries(): void {
    if (this.#mutation.losesEntries === true) {
      const empty = new LedgerState().snapshot();
      this.#states.forEach((state) => state.restore(empty));
    }
  }

  async advance(byMs: number): Promise<void> {
    for (let leftMs = byMs; leftMs > 0; leftMs -= 25) {
      this.#clock.advance(Math.min(25, leftMs));
      await flushPromises();
    }
    this.#routings.forEach((routing, id) => {
      const self = INSTANCES.find((instance) => instance.id === id);
      this.#announceTo(routing, self?.dataCentre ?? "");
    });
  }

  /** Ends all faults and checks that every call ends. */
  async finish(): Promise<void> {
    this.heal();
    this.setLinkFaults(0, 0);
    this.#logs.forEach((log) => log.fault = MemoryFault.none);
    for (let step = 0; step < 12 && this.#openCalls.size > 0; step += 1) {
      await this.advance(500);
    }
    this.#check(this.#openCalls.size === 0, "a call never ended");
    await Promise.all(
      [...this.#routings.values()].map((routing) => routing.close()),
    );
  }

  #announceTo(routing: RequestRouting, dataCentre: string): void {
    for (const server of SERVERS) {
      const isAnnouncing = !this.#silentDataCentres.has(dataCentre);
      if (isAnnouncing && server.dataCentre === dataCentre) {
        routing.announce({
          serverId: server.id,
          service: "loft",
          address: "127.0.0.1:1",
          slots: 2,
          dataCentre,
          incarnation: 1,
          leaving: false,
        });
      }
    }
  }

  async #checkCall(
    id: string,
    options: { request: string; content: string; timeoutMs: number },
  ): Promise<void> {
    const { request, content, timeoutMs } = options;
    const nowMs = this.#clock.nowMs();
    const result = await this.#routings.get(id)?.answer({
      hasCallerId: true,
      record: {
        requestId: request,
        service: "loft",
        clientAccount: undefined,
        requestClass: "quote",
        isIdempotent: false,
        receivedAtMs: nowMs,
        deadlineMs: nowMs + timeoutMs,
        path: "/",
        contentType: undefined,
        body: new TextEncoder().encode(content),
        configurationVersion: 1,
      },
    }, { signal: new AbortController().signal });
    result?.caseOf({
      Left: (error) => {
        const isSent = (this.#sent.get(request) ?? 0) > 0;
        const isRefused = error.answer.execution === Execution.notRun;
        this.#check(
          !isRefused || !isSent,
          `reported "not run" for a request that was sent`,
        );
      },
      Right: ({ answer }) => {
        const text = new TextDecoder().decode(answer.body);
        const isOwn = text === `${request}=${content}`;
        this.#check(isOwn, "ended with the answer of another request");
      },
    });
  }

  /** Answers as the simulated backend servers. */
  async #send(attempt: BackendAttempt): Promise<BackendAttemptEnd> {
    const { requestId, body } = attempt.record;
    const behaviour = this.#drawBehaviour();
    if (behaviour === "refused") {
      return { result: "notSent", answer: undefined, fault: undefined };
    }
    const sent = (this.#sent.get(requestId) ?? 0) + 1;
    this.#sent.set(requestId, sent);
    this.#check(sent === 1, "sent twice");
    const waitMs = behaviour === "late"
      ? attempt.giveUpAtMs - this.#clock.nowMs() - 100
      : this.#random.nextInt(150);
    await new Promise<void>((resolve) => this.#clock.after(waitMs, resolve));
    if (behaviour === "lost") {
      const result = this.#mutation.reportsLostAsNotSent === true
        ? "notSent" as const
        : "ambiguous" as const;
      return { result, answer: undefined, fault: undefined };
    }
    const own = `${requestId}=${new TextDecoder().decode(body)}`;
    const text =
      this.#mutation.mixesAnswers === true && this.#lastAnswered !== ""
        ? this.#lastAnswered
        : own;
    this.#lastAnswered = own;
    return {
      result: behaviour === "error" ? "serverError" : "answered",
      fault: undefined,
      answer: {
        requestId,
        httpStatus: behaviour === "error" ? 500 : 200,
        contentType: undefined,
        body: new TextEncoder().encode(text),
      },
    };
  }

  #drawBehaviour(): ServerBehaviour {
    const behaviours: readonly ServerBehaviour[] = [
      "answer",
      "answer",
      "answer",
      "answer",
      "late",
      "lost",
      "refused",
      "error",
    ];
    return behaviours[this.#random.nextInt(behaviours.length)] ?? "answer";
  }

  #check(condition: boolean, violation: string): void {
    if (!condition) {
      this.violation ??= violation;
    }
  }
}

/** Lets pending promise callbacks run. */
export async function flushPromises(): Promise<void> {
  for (let turn = 0; turn < 3; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}
