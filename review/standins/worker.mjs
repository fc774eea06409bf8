/**
 * A worker, as PROTOCOL.md describes it in "Running tasks" and "Service
 * discovery". Tasks wait for their time to pass; gangs and checkpoints aren't
 * supported.
 */

import { Agent, createServer } from "node:http";
import { httpCall } from "./http_call.mjs";

const HEARTBEAT_MS = 1_500;
const HEARTBEAT_TIMEOUT_MS = 1_000;

/** How long a worker that leaves waits for an acknowledgement: some seconds. */
const LEAVING_LIMIT_MS = 3_000;
const LEASE_CHECK_MS = 20;
const STOP_MS = 50;
const REPORTED_ENDS_LIMIT = 500;

export class Worker {
  #options;
  #record;
  #server;
  #bornAtMs = Date.now();
  #steadyBeganAtMs = performance.now();
  #seq = 0;
  #state = "ready";
  #highestToken = 0;
  #leaseEndMs = 0;
  #running = new Map();
  /** Of each task, the highest run that was stopped or has ended. */
  #revokedUpTo = new Map();
  #ends = [];
  #endCount = 0;
  #waiters = new Set();
  #timers = [];
  #heartbeatUrl;

  /** Keeps the connection of its heartbeats open. */
  #agent = new Agent({ keepAlive: true, maxSockets: 1 });

  /** All starts and ends on this worker, in order; ends have a number. */
  history = [];

  /** While true, its heartbeats are lost on their way. */
  isCutOff = false;

  /**
   * While true, what it sends on the connection that it has open arrives, and
   * all answers are lost, as on a link that is cut one way.
   */
  isDeaf = false;

  /** The ends up to this number are taken note of. */
  acknowledgedEnd = 0;

  /** When its lease expired while a task was running or an end was listed. */
  lapsesAtMs = [];

  /**
   * `taskMs` is how long a task works; `room` is how many of the case's equal
   * tasks fit into its `capacity`.
   */
  constructor({
    id,
    host,
    zone,
    controlAddresses,
    taskMs,
    capacity = { cpu: 32_000, memMb: 65_536, gpu: 1 },
    room = 1,
    record,
  }) {
    this.#options = {
      id,
      host,
      zone,
      controlAddresses,
      taskMs,
      capacity,
      room,
    };
    this.#record = record;
    this.#server = createServer((request, response) => {
      void this.#serve(request, response);
    });
  }

  get id() {
    return this.#options.id;
  }

  get zone() {
    return this.#options.zone;
  }

  /** Its own address. */
  get address() {
    return `${this.#options.host}:${this.#server.address().port}`;
  }

  /** Announces its own address, or that of a proxy in front of it. */
  async open(announcedOf = (address) => address) {
    const { host } = this.#options;
    await new Promise((done) => this.#server.listen(0, host, done));
    this.announced = await announcedOf(this.address);
    await this.#heartbeat();
    this.#timers = [
      setInterval(() => void this.#heartbeat(), HEARTBEAT_MS),
      setInterval(() => this.#checkLease(), LEASE_CHECK_MS),
    ];
  }

  /** Reports `draining`; resolves to the time of the acknowledgement. */
  async drain() {
    this.#state = "draining";
    this.#record.note(`worker ${this.id}: reports draining`);
    while (!await this.#heartbeat()) {
      // Every node has been called; the next round follows at once.
    }
    this.#record.note(`worker ${this.id}: draining is acknowledged`);
    return this.#record.nowMs();
  }

  /**
   * Reports that it leaves, and ends once that is acknowledged, or anyway. While
   * it is deaf, it can't open a connection to another node to report it there.
   */
  async leave() {
    this.#timers.forEach((timer) => clearInterval(timer));
    const endsAtMs = this.#record.nowMs() + LEAVING_LIMIT_MS;
    this.#timers = [
      setInterval(() => this.#checkLease(), LEASE_CHECK_MS),
    ];
    this.#record.note(`worker ${this.id}: reports that it leaves`);
    const answer = await httpCall({
      address: this.#heartbeatUrl ?? this.#options.controlAddresses[0],
      method: "DELETE",
      path: `/sesamethread/instances/${this.id}`,
      timeoutMs: HEARTBEAT_TIMEOUT_MS,
      agent: this.#agent,
    });
    const isAcknowledged = !this.isDeaf && answer.status >= 200 &&
      answer.status < 300;
    if (isAcknowledged) {
      this.#record.note(`worker ${this.id}: that is acknowledged`);
    } else {
      this.#record.note(`worker ${this.id}: no acknowledgement arrives`);
      const waitMs = endsAtMs - this.#record.nowMs();
      await new Promise((done) => setTimeout(done, Math.max(0, waitMs)));
    }
    this.#record.note(`worker ${this.id}: ends`);
    [...this.#running.keys()].forEach((task) => this.#end(task, "gone"));
    this.close();
  }

  close() {
    this.#timers.forEach((timer) => clearInterval(timer));
    this.#running.forEach(({ timer }) => clearTimeout(timer));
    this.#waiters.forEach((resume) => resume());
    this.#agent.destroy();
    this.#server.closeAllConnections();
    this.#server.close();
  }

  #clockMs() {
    return Math.floor(performance.now() - this.#steadyBeganAtMs);
  }

  /** Calls one node after another; true once one acknowledges. */
  async #heartbeat() {
    if (this.isCutOff) {
      return false;
    }
    const { id, zone, controlAddresses, capacity, room } = this.#options;
    const known = this.#heartbeatUrl;
    const addresses = [
      ...(known === undefined ? [] : [known]),
      ...controlAddresses,
    ];
    for (const address of addresses) {
      const { status, body } = await httpCall({
        address,
        method: "PUT",
        path: `/sesamethread/instances/${id}`,
        body: {
          service: "pool",
          address: this.announced,
          zone,
          version: "v1",
          slots: room,
          state: this.#state,
          coldLeftMs: 0,
          capacity,
          labels: ["a", `rack-${zone}`],
          clockMs: this.#clockMs(),
          born: this.#bornAtMs,
          seq: ++this.#seq,
        },
        timeoutMs: HEARTBEAT_TIMEOUT_MS,
        agent: this.#agent,
      });
      if (status === 200) {
        this.#heartbeatUrl = body?.heartbeatUrl;
        return true;
      }
      this.#heartbeatUrl = undefined;
    }
    return false;
  }

  async #serve(request, response) {
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    const expected = request.headers["sesamethread-expect-instance"];
    const answer = expected !== undefined && expected !== this.id
      ? { status: 421, body: {} }
      : await this.#handle(
        request.url,
        JSON.parse(Buffer.concat(chunks).toString("utf8")),
      );
    response.writeHead(answer.status, { "content-type": "application/json" });
    response.end(JSON.stringify({
      clockMs: this.#clockMs(),
      born: this.#bornAtMs,
      ...answer.body,
    }));
  }

  async #handle(url, body) {
    const token = body.fencingToken ?? 0;
    if (token < this.#highestToken) {
      return { status: 409, body: { reason: "fence" } };
    }
    this.#highestToken = token;
    switch (url) {
      case "/sesamethread/run-start":
        return this.#start(body);
      case "/sesamethread/run-stop":
        this.#stop(body.task, body.run);
        return { status: 200, body: {} };
      case "/sesamethread/hold":
        return await this.#hold(body);
      default:
        return { status: 404, body: {} };
    }
  }

  #start({ task, run, deadlineMs }) {
    const { room, taskMs } = this.#options;
    this.#record.note(`worker ${this.id}: order to start ${task} run ${run}`);
    if (this.#running.get(task)?.run === run) {
      return { status: 200, body: {} };
    }
    if (deadlineMs <= this.#clockMs()) {
      return { status: 409, body: { reason: "late" } };
    }
    this.#extendLease(deadlineMs);
    if (run <= (this.#revokedUpTo.get(task) ?? 0)) {
      return { status: 409, body: { reason: "old" } };
    }
    if (this.#running.size >= room) {
      return { status: 409, body: { reason: "room" } };
    }
    const timer = setTimeout(() => this.#end(task, "done"), taskMs);
    this.#running.set(task, { run, timer, beganAtMs: this.#clockMs() });
    this.#log("start", task, run, "");
    return { status: 200, body: {} };
  }

  #stop(task, run) {
    this.#record.note(`worker ${this.id}: order to stop ${task} run ${run}`);
    const revoked = Math.max(run, this.#revokedUpTo.get(task) ?? 0);
    this.#revokedUpTo.set(task, revoked);
    const held = this.#running.get(task);
    if (held?.run === run) {
      clearTimeout(held.timer);
      held.timer = setTimeout(() => this.#end(task, "stopped"), STOP_MS);
    }
  }

  async #hold({ deadlineMs, ackCursor = 0, waitMs = 0 }) {
    if (deadlineMs !== undefined) {
      this.#extendLease(deadlineMs);
    }
    this.acknowledgedEnd = Math.max(this.acknowledgedEnd, ackCursor);
    this.#ends = this.#ends.filter(([number]) => number > ackCursor);
    if (this.#ends.length === 0 && waitMs > 0) {
      await new Promise((done) => {
        const resume = () => {
          clearTimeout(timer);
          this.#waiters.delete(resume);
          done();
        };
        const timer = setTimeout(resume, Math.min(waitMs, 2_000));
        this.#waiters.add(resume);
      });
    }
    const running = [...this.#running].map(([task, { run, beganAtMs }]) => {
      const share = (this.#clockMs() - beganAtMs) / this.#options.taskMs;
      return [task, run, "", Math.min(99, Math.floor(share * 100)), 0];
    });
    const finished = this.#ends.slice(0, REPORTED_ENDS_LIMIT);
    return { status: 200, body: { running, finished } };
  }

  #extendLease(deadlineMs) {
    const limitMs = this.#clockMs() + 10_000;
    this.#leaseEndMs = Math.max(
      this.#leaseEndMs,
      Math.min(deadlineMs, limitMs),
    );
  }

  #checkLease() {
    if (this.#clockMs() >= this.#leaseEndMs) {
      if (this.#running.size + this.#ends.length > 0) {
        this.lapsesAtMs.push(this.#record.nowMs());
      }
      [...this.#running.keys()].forEach((task) => this.#end(task, "lapsed"));
    }
  }

  #end(task, how) {
    const { run, timer } = this.#running.get(task);
    clearTimeout(timer);
    this.#running.delete(task);
    const revoked = Math.max(run, this.#revokedUpTo.get(task) ?? 0);
    this.#revokedUpTo.set(task, revoked);
    this.#ends.push([++this.#endCount, task, run, how, ""]);
    this.#log("end", task, run, how, this.#endCount);
    [...this.#waiters].forEach((resume) => resume());
  }

  #log(kind, task, run, how, number = 0) {
    const atMs = this.#record.nowMs();
    this.history.push({ kind, worker: this.id, task, run, atMs, how, number });
    this.#record.note(
      `worker ${this.id} in ${this.zone}: ${kind} of ${task} run ${run} ${how}`,
    );
  }
}
