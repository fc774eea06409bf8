/**
 * The whole request path of three instances over fakes, with the truth about
 * what was sent, for tests of its promises.
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

/** How a server of the model treats one sending. */
type Fate = "answer" | "late" | "lost" | "refused" | "error";

/** Turns the system into a broken one, to see that the oracle notices. */
export interface Mutation {
  /** The ledgers forget everything now and again. */
  readonly forgets?: boolean;
  /** Instances disagree about the data centres. */
  readonly disagrees?: boolean;
  /** A lost answer is taken for a request that was never sent. */
  readonly misjudges?: boolean;
  /** An answer carries what another request got. */
  readonly crosses?: boolean;
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
export class World {
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
  readonly #open = new Map<Promise<void>, string>();
  #lastAnswered = "";
  readonly #silent = new Set<string>();
  broken: string | undefined;

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

  /** Starts the instance, after a crash if it ran before. */
  start(id: string): void {
    void this.#routings.get(id)?.close();
    for (const [ended, at] of this.#open) {
      if (at === id) {
        this.#open.delete(ended);
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
    const isOdd = this.#mutation.disagrees === true && id === "e2";
    const peerIds = INSTANCES.map((instance) => instance.id);
    const routing = new RequestRouting({
      self,
      peers: INSTANCES.filter((instance) => instance.id !== id),
      incarnation,
      clock: this.#clock,
      random: new SeededRandom({ seed: incarnation }),
      network: this.#hub.join(id, { peerIds }),
      configuration: configurationWith(isOdd ? ["west"] : ["east", "west"]),
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

  /** A caller's try; its end is judged when it comes. */
  call(
    id: string,
    options: { request: string; content: string; timeoutMs: number },
  ): void {
    const ended = this.#judgeCall(id, options);
    this.#open.set(ended, id);
    void ended.then(() => this.#open.delete(ended));
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
      doublingRate: rate,
      jitterMs,
    });
  }

  /** The data centre's servers announce themselves or don't. */
  setSilent(dataCentre: string, isSilent: boolean): void {
    if (isSilent) {
      this.#silent.add(dataCentre);
    } else {
      this.#silent.delete(dataCentre);
    }
  }

  isolate(id: string): void {
    this.#hub.isolate(id);
  }

  heal(): void {
    this.#hub.heal();
  }

  forget(): void {
    if (this.#mutation.forgets === true) {
      const empty = new LedgerState().snapshot();
      this.#states.forEach((state) => state.restore(empty));
    }
  }

  async advance(byMs: number): Promise<void> {
    for (let leftMs = byMs; leftMs > 0; leftMs -= 25) {
      this.#clock.advance(Math.min(25, leftMs));
      await settle();
    }
    this.#routings.forEach((routing, id) => {
      const self = INSTANCES.find((instance) => instance.id === id);
      this.#announceTo(routing, self?.dataCentre ?? "");
    });
  }

  /** Every call must end. */
  async finish(): Promise<void> {
    this.heal();
    this.setLinkFaults(0, 0);
    this.#logs.forEach((log) => log.fault = MemoryFault.none);
    for (let step = 0; step < 12 && this.#open.size > 0; step += 1) {
      await this.advance(500);
    }
    this.#check(this.#open.size === 0, "a call never ended");
    await Promise.all(
      [...this.#routings.values()].map((routing) => routing.close()),
    );
  }

  #announceTo(routing: RequestRouting, dataCentre: string): void {
    for (const server of SERVERS) {
      const isHeard = !this.#silent.has(dataCentre);
      if (isHeard && server.dataCentre === dataCentre) {
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

  async #judgeCall(
    id: string,
    options: { request: string; content: string; timeoutMs: number },
  ): Promise<void> {
    const { request, content, timeoutMs } = options;
    const nowMs = this.#clock.nowMs();
    const result = await this.#routings.get(id)?.answer({
      isNamed: true,
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
        this.#check(!isRefused || !isSent, `"not run" of a request sent`);
      },
      Right: ({ answer }) => {
        const text = new TextDecoder().decode(answer.body);
        const isOwn = text === `${request}=${content}`;
        this.#check(isOwn, "an answer of another request");
      },
    });
  }

  /** The servers of the model. */
  async #send(attempt: BackendAttempt): Promise<BackendAttemptEnd> {
    const { requestId, body } = attempt.record;
    const fate = this.#drawFate();
    if (fate === "refused") {
      return { result: "notSent", answer: undefined, fault: undefined };
    }
    const sent = (this.#sent.get(requestId) ?? 0) + 1;
    this.#sent.set(requestId, sent);
    this.#check(sent === 1, "sent twice");
    const waitMs = fate === "late"
      ? attempt.giveUpAtMs - this.#clock.nowMs() - 100
      : this.#random.nextInt(150);
    await new Promise<void>((resolve) => this.#clock.after(waitMs, resolve));
    if (fate === "lost") {
      const result = this.#mutation.misjudges === true
        ? "notSent" as const
        : "ambiguous" as const;
      return { result, answer: undefined, fault: undefined };
    }
    const own = `${requestId}=${new TextDecoder().decode(body)}`;
    const text = this.#mutation.crosses === true && this.#lastAnswered !== ""
      ? this.#lastAnswered
      : own;
    this.#lastAnswered = own;
    return {
      result: fate === "error" ? "serverError" : "answered",
      fault: undefined,
      answer: {
        requestId,
        httpStatus: fate === "error" ? 500 : 200,
        contentType: undefined,
        body: new TextEncoder().encode(text),
      },
    };
  }

  #drawFate(): Fate {
    const fates: readonly Fate[] = [
      "answer",
      "answer",
      "answer",
      "answer",
      "late",
      "lost",
      "refused",
      "error",
    ];
    return fates[this.#random.nextInt(fates.length)] ?? "answer";
  }

  #check(holds: boolean, broken: string): void {
    if (!holds) {
      this.broken ??= broken;
    }
  }
}

/** Lets every promise that is ready run on. */
export async function settle(): Promise<void> {
  for (let turn = 0; turn < 3; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}
