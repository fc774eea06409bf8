/**
 * A minimal worker of the platform: accepts starts, stops and leases over HTTP,
 * checks their fencing tokens, and sends heartbeats to the control address. It
 * doesn't make the tasks of a gang wait for each other, and ignores the end of
 * its lease.
 *
 * @module
 */

import { createServer, type IncomingMessage, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { request } from "undici";

/** Options of {@link PlatformStandinWorker}. */
export interface PlatformStandinWorkerOptions {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  readonly rack: string;
  readonly accelerators: number;
  readonly controlAddresses: readonly string[];
  /** How long a task with this payload runs. */
  readonly durationMs: (payload: string) => number;
  /** Whether a task's run ends as failed. */
  readonly fails: (payload: string, task: string) => boolean;
  /** Records all starts and ends; workers may share it. */
  readonly history: RunHistory;
  /**
   * Called for every call that arrives. If true, and the call is a start, the
   * worker carries it out but closes the connection without an answer.
   */
  readonly isMute?: () => boolean;
}

/** The start or end of a run on a worker. */
export interface RunEvent {
  readonly kind: "start" | "end";
  readonly worker: string;
  readonly task: string;
  readonly run: number;
  /** How the run ended; empty for a start. */
  readonly how: string;
}

/** The starts and ends of runs on workers, in order. */
export class RunHistory {
  readonly events: RunEvent[] = [];

  starts(task: string): RunEvent[] {
    return this.events.filter((event) =>
      event.kind === "start" && event.task === task
    );
  }

  /** Tasks of which two runs were active at the same time. */
  overlaps(): string[] {
    const activeRuns = new Map<string, number>();
    const overlapping: string[] = [];
    for (const { kind, task } of this.events) {
      const count = (activeRuns.get(task) ?? 0) + (kind === "start" ? 1 : -1);
      activeRuns.set(task, count);
      if (count > 1) {
        overlapping.push(task);
      }
    }
    return overlapping;
  }
}

interface HeldRun {
  readonly task: string;
  readonly run: number;
  readonly timer: NodeJS.Timeout;
}

/** `[number of the end, task, run, how it ended, checkpoint]`. */
type EndedRow = [number, string, number, string, string];

const HEARTBEAT_PERIOD_MS = 300;

/** A worker that serves until it is closed. */
export class PlatformStandinWorker {
  readonly #options: PlatformStandinWorkerOptions;
  readonly #server: Server;
  readonly #bornAtMs = Date.now();
  readonly #running = new Map<string, HeldRun>();
  /** Runs of each task up to this one were stopped or have ended. */
  readonly #revokedUpTo = new Map<string, number>();
  #ended: EndedRow[] = [];
  #endCount = 0;
  #highestToken = 0;
  #leaseEndMs = 0;
  #sequence = 0;
  #isDraining = false;
  #heartbeatTimer: NodeJS.Timeout | undefined;
  #reportWaiters: (() => void)[] = [];

  constructor(options: PlatformStandinWorkerOptions) {
    this.#options = options;
    this.#server = createServer((incoming, response) => {
      void readJson(incoming).then((body) => {
        const isMute = this.#options.isMute?.() === true &&
          incoming.url?.endsWith("run-start") === true;
        void this.#handle(incoming.url ?? "", body).then((answer) => {
          if (isMute) {
            response.destroy();
            return;
          }
          response.writeHead(answer.status, {
            "content-type": "application/json",
          });
          response.end(JSON.stringify({
            clockMs: this.#clockMs(),
            born: this.#bornAtMs,
            ...answer.body,
          }));
        });
      });
    });
  }

  get id(): string {
    return this.#options.id;
  }

  async open(): Promise<void> {
    await new Promise<void>((done) =>
      this.#server.listen(0, "127.0.0.1", done)
    );
    this.#heartbeatTimer = setInterval(
      () => void this.#sendHeartbeat(),
      HEARTBEAT_PERIOD_MS,
    );
    await this.#sendHeartbeat();
  }

  /** Reports that it is draining; its runs go on. */
  drain(): Promise<void> {
    this.#isDraining = true;
    return this.#sendHeartbeat();
  }

  /** Ends all runs as lost and stops. */
  async close(): Promise<void> {
    clearInterval(this.#heartbeatTimer);
    for (const held of [...this.#running.values()]) {
      this.#end(held, "lost");
    }
    this.#server.closeAllConnections();
    await new Promise<void>((done) => this.#server.close(() => done()));
  }

  /** The body of its next heartbeat. */
  nextHeartbeat(): Record<string, unknown> {
    const { address, port } = this.#server.address() as AddressInfo;
    const { service, zone, rack, accelerators } = this.#options;
    return {
      service,
      zone,
      address: `${address}:${port}`,
      version: "v1",
      slots: 8,
      state: this.#isDraining ? "draining" : "ready",
      coldLeftMs: 0,
      capacity: { cpu: 32_000, memMb: 65_536, gpu: accelerators },
      labels: ["a", rack],
      clockMs: this.#clockMs(),
      born: this.#bornAtMs,
      seq: this.#sequence++,
    };
  }

  #clockMs(): number {
    return Date.now() - this.#bornAtMs;
  }

  async #sendHeartbeat(): Promise<void> {
    const body = JSON.stringify(this.nextHeartbeat());
    for (const control of this.#options.controlAddresses) {
      if (await this.#putHeartbeat(control, this.#options.id, body)) {
        return;
      }
    }
  }

  async #putHeartbeat(
    control: string,
    id: string,
    body: string,
  ): Promise<boolean> {
    try {
      const answer = await request(
        `http://${control}/sesamethread/instances/${id}`,
        { method: "PUT", body, signal: AbortSignal.timeout(1_000) },
      );
      await answer.body.dump();
      return answer.statusCode === 200;
    } catch {
      return false;
    }
  }

  async #handle(
    url: string,
    body: Record<string, unknown>,
  ): Promise<{ status: number; body: Record<string, unknown> }> {
    const token = Number(body.fencingToken ?? 0);
    if (token < this.#highestToken) {
      return { status: 409, body: { reason: "fence" } };
    }
    this.#highestToken = token;
    switch (url) {
      case "/sesamethread/run-start":
        return this.#start(body);
      case "/sesamethread/run-stop":
        this.#stop(String(body.task), Number(body.run));
        return { status: 200, body: {} };
      case "/sesamethread/hold":
        return await this.#hold(body);
      default:
        return { status: 404, body: {} };
    }
  }

  #start(body: Record<string, unknown>): {
    status: number;
    body: Record<string, unknown>;
  } {
    const task = String(body.task);
    const run = Number(body.run);
    this.#extendLease(Number(body.deadlineMs));
    if (this.#running.get(task)?.run === run) {
      return { status: 200, body: {} };
    }
    if (run <= (this.#revokedUpTo.get(task) ?? 0)) {
      return { status: 409, body: { reason: "old" } };
    }
    if (Number(body.deadlineMs) <= this.#clockMs()) {
      return { status: 409, body: { reason: "late" } };
    }
    const { durationMs, fails, id, history } = this.#options;
    const payload = String(body.spec);
    const timer = setTimeout(() => {
      const held = this.#running.get(task);
      if (held !== undefined) {
        this.#end(held, fails(payload, task) ? "failed" : "done");
      }
    }, durationMs(payload));
    this.#running.set(task, { task, run, timer });
    history.events.push({ kind: "start", worker: id, task, run, how: "" });
    return { status: 200, body: {} };
  }

  #extendLease(endMs: number): void {
    if (Number.isFinite(endMs)) {
      this.#leaseEndMs = Math.max(this.#leaseEndMs, endMs);
    }
  }

  #stop(task: string, run: number): void {
    this.#revokedUpTo.set(
      task,
      Math.max(run, this.#revokedUpTo.get(task) ?? 0),
    );
    const held = this.#running.get(task);
    if (held?.run === run) {
      this.#end(held, "stopped");
    }
  }

  #end({ task, run, timer }: HeldRun, how: string): void {
    clearTimeout(timer);
    this.#running.delete(task);
    this.#revokedUpTo.set(task, run);
    this.#endCount += 1;
    this.#ended.push([this.#endCount, task, run, how, ""]);
    const { id, history } = this.#options;
    history.events.push({ kind: "end", worker: id, task, run, how });
    this.#reportWaiters.splice(0).forEach((resume) => resume());
  }

  async #hold(body: Record<string, unknown>): Promise<{
    status: number;
    body: Record<string, unknown>;
  }> {
    this.#extendLease(Number(body.deadlineMs ?? Number.NaN));
    const acknowledged = Number(body.ackCursor ?? 0);
    this.#ended = this.#ended.filter(([number]) => number > acknowledged);
    const waitMs = Number(body.waitMs ?? 0);
    if (this.#ended.length === 0 && waitMs > 0) {
      await new Promise<void>((resume) => {
        this.#reportWaiters.push(resume);
        setTimeout(resume, waitMs);
      });
    }
    const running = [...this.#running.values()].map((
      { task, run },
    ) => [task, run, "", 100]);
    return { status: 200, body: { running, finished: this.#ended } };
  }
}

async function readJson(
  incoming: IncomingMessage,
): Promise<Record<string, unknown>> {
  const chunks: Uint8Array[] = [];
  for await (const chunk of incoming) {
    chunks.push(chunk as Uint8Array);
  }
  const text = new TextDecoder().decode(await new Blob(chunks).arrayBuffer());
  return JSON.parse(text === "" ? "{}" : text) as Record<string, unknown>;
}
