/**
 * A worker of the platform, as small as its protocol allows: starts, stops and
 * leases over HTTP, with fences, gangs that wait for their members, and
 * heartbeats to the control address.
 *
 * @module
 */

import { createServer, type IncomingMessage, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { request } from "undici";

/** How a stand-in's tasks go. */
export interface StandinWorkerOptions {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  readonly rack: string;
  readonly accelerators: number;
  readonly controlAddresses: readonly string[];
  /** How long each task takes, by its payload. */
  readonly durationMs: (payload: string) => number;
  /** Whether a run fails at its end. */
  readonly fails: (payload: string, task: string) => boolean;
  /** Takes note of every start and end, over all workers. */
  readonly history: RunHistory;
  /** Ends every start without an answer, but carries it out. */
  readonly isMute?: () => boolean;
}

/** One thing that a worker did. */
export interface RunEvent {
  readonly kind: "start" | "end";
  readonly worker: string;
  readonly task: string;
  readonly run: number;
  readonly how: string;
}

/** All that workers did, in order. */
export class RunHistory {
  readonly events: RunEvent[] = [];

  starts(task: string): RunEvent[] {
    return this.events.filter((event) =>
      event.kind === "start" && event.task === task
    );
  }

  /** Tasks of which two runs were open at the same time. */
  overlaps(): string[] {
    const open = new Map<string, number>();
    const found: string[] = [];
    for (const { kind, task } of this.events) {
      const count = (open.get(task) ?? 0) + (kind === "start" ? 1 : -1);
      open.set(task, count);
      if (count > 1) {
        found.push(task);
      }
    }
    return found;
  }
}

interface Held {
  readonly task: string;
  readonly run: number;
  readonly timer: NodeJS.Timeout;
}

type Ended = [number, string, number, string, string];

const HEARTBEAT_MS = 300;

/** A stand-in worker that serves until it is closed. */
export class StandinWorker {
  readonly #options: StandinWorkerOptions;
  readonly #server: Server;
  readonly #bornAtMs = Date.now();
  readonly #running = new Map<string, Held>();
  readonly #barred = new Map<string, number>();
  #ended: Ended[] = [];
  #endCount = 0;
  #fence = 0;
  #leaseEndMs = 0;
  #sequence = 0;
  #isDraining = false;
  #beater: NodeJS.Timeout | undefined;
  #waiters: (() => void)[] = [];

  constructor(options: StandinWorkerOptions) {
    this.#options = options;
    this.#server = createServer((incoming, response) => {
      void readJson(incoming).then((body) => {
        const mute = this.#options.isMute?.() === true &&
          incoming.url?.endsWith("run-start") === true;
        void this.#handle(incoming.url ?? "", body).then((answer) => {
          if (mute) {
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
    this.#beater = setInterval(() => void this.#beat(), HEARTBEAT_MS);
    await this.#beat();
  }

  /** Says that it leaves; what it runs goes on. */
  drain(): Promise<void> {
    this.#isDraining = true;
    return this.#beat();
  }

  /** Dies with all that it runs. */
  async close(): Promise<void> {
    clearInterval(this.#beater);
    for (const held of [...this.#running.values()]) {
      this.#end(held, "lost");
    }
    this.#server.closeAllConnections();
    await new Promise<void>((done) => this.#server.close(() => done()));
  }

  /** What it says of itself next. */
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

  async #beat(): Promise<void> {
    const body = JSON.stringify(this.nextHeartbeat());
    for (const control of this.#options.controlAddresses) {
      if (await this.#tell(control, this.#options.id, body)) {
        return;
      }
    }
  }

  async #tell(control: string, id: string, body: string): Promise<boolean> {
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
    const fence = Number(body.fencingToken ?? 0);
    if (fence < this.#fence) {
      return { status: 409, body: { reason: "fence" } };
    }
    this.#fence = fence;
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
    if (run <= (this.#barred.get(task) ?? 0)) {
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
    this.#barred.set(task, Math.max(run, this.#barred.get(task) ?? 0));
    const held = this.#running.get(task);
    if (held?.run === run) {
      this.#end(held, "stopped");
    }
  }

  #end({ task, run, timer }: Held, how: string): void {
    clearTimeout(timer);
    this.#running.delete(task);
    this.#barred.set(task, run);
    this.#endCount += 1;
    this.#ended.push([this.#endCount, task, run, how, ""]);
    const { id, history } = this.#options;
    history.events.push({ kind: "end", worker: id, task, run, how });
    this.#waiters.splice(0).forEach((resume) => resume());
  }

  async #hold(body: Record<string, unknown>): Promise<{
    status: number;
    body: Record<string, unknown>;
  }> {
    this.#extendLease(Number(body.deadlineMs ?? Number.NaN));
    const noted = Number(body.ackCursor ?? 0);
    this.#ended = this.#ended.filter(([number]) => number > noted);
    const waitMs = Number(body.waitMs ?? 0);
    if (this.#ended.length === 0 && waitMs > 0) {
      await new Promise<void>((resume) => {
        this.#waiters.push(resume);
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
