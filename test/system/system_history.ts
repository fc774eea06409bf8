/**
 * Runs one random history on a bed of its own, and judges it.
 *
 * @module
 */

import { SystemBed } from "./system_bed.ts";
import { SYSTEM_INSTANCES, type SystemInstanceId } from "./system_document.ts";
import type { SystemMutation } from "./system_faults.ts";
import { type PreparedEdit, SystemSession } from "./system_session.ts";
import type { SystemStep } from "./system_step.ts";

/** How a history is run. */
export interface HistoryOptions {
  readonly seed: number;
  readonly mutation?: SystemMutation;
}

/** What a history came to. */
export interface HistoryVerdict {
  readonly violations: readonly string[];
  /** Steps, ends of calls and events of all instances, in order. */
  readonly timeline: readonly string[];
}

/** How long after the last fault everything must have ended. */
const CALM_MS = 60_000;

/** How long jobs may wait for one another after that. */
const JOBS_END_MS = 400_000;

/** How long a retried request waits before it goes to another instance. */
const RETRY_MS = 40;

/** How long the repair of a wiped instance may take. */
const REPAIR_MS = 15_000;

/** Runs the steps and judges them. */
export async function runHistory(
  steps: readonly SystemStep[],
  options: HistoryOptions,
): Promise<HistoryVerdict> {
  const run = new HistoryRun(options);
  return await run.run(steps);
}

class HistoryRun {
  readonly #bed: SystemBed;
  readonly #session: SystemSession;
  readonly #timeline: string[] = [];
  readonly #violations: string[] = [];
  #lastEdit: PreparedEdit | undefined;

  constructor(options: HistoryOptions) {
    this.#bed = new SystemBed({
      ...options,
      onEvent: (instance, name, fields) =>
        name === "serverAnnounced"
          ? undefined
          : this.#write(`${instance} ${name} ${JSON.stringify(fields ?? {})}`),
    });
    this.#session = new SystemSession(this.#bed, {
      note: (line) => this.#write(line),
    });
  }

  async run(steps: readonly SystemStep[]): Promise<HistoryVerdict> {
    await this.#bed.open();
    for (const step of steps) {
      this.#write(`> ${JSON.stringify(step)}`);
      await this.#take(step);
      await this.#bed.pass(5);
    }
    this.#write("> every fault ends");
    await this.#bed.calm(CALM_MS);
    await this.#returnDataCentres();
    await this.#session.judgeEnd();
    this.#bed.close();
    const violations = [
      ...this.#violations,
      ...this.#bed.oracle.violations(),
    ];
    return { violations, timeline: this.#timeline };
  }

  async #take(step: SystemStep): Promise<void> {
    const { links, workers, servers } = this.#bed;
    switch (step.kind) {
      case "pass":
        return await this.#bed.pass(step.byMs);
      case "submit": {
        // The same number stands for the same job.
        const { job, at } = step;
        const tasks = 1 + job % step.tasks;
        const jobId = `j${job}.${tasks}.${step.runMs}`;
        void this.#session.submit(at, { jobId, tasks, runMs: step.runMs });
        return;
      }
      case "cancel":
        return this.#cancel(step.at, step.job);
      case "race":
        return this.#race(step);
      case "resend":
        if (this.#lastEdit !== undefined) {
          void this.#session.send(step.at, this.#lastEdit);
        }
        return;
      case "switch":
        return this.#sendLast(
          step.at,
          this.#session.prepareStatus(step.at, step),
        );
      case "request":
        return await this.#request(step);
      case "serverFaults":
        servers.faultRate = step.rate;
        return;
      case "crash":
        return this.#crash(step.at);
      case "start":
        this.#bed.resume(step.at);
        return await this.#bed.start(step.at);
      case "stop":
        return await this.#stop(step.at);
      case "wipe":
        return await this.#wipe(step);
      case "freeze":
        return this.#bed.freeze(step.at);
      case "resume":
        return this.#bed.resume(step.at);
      case "cutOneWay":
        return links.cutOneWay(step.at, step.other);
      case "cutRegions":
        return links.cutRegions();
      case "heal":
        return this.#heal();
      case "weather":
        return links.setWeather({ rate: step.rate, jitterMs: 100 });
      case "failing":
        return workers.setFailing(step.worker, step.isOn);
      case "worker":
        return step.lives
          ? workers.revive(step.worker)
          : workers.die(step.worker);
    }
  }

  #cancel(at: SystemInstanceId, job: number): void {
    for (const jobId of this.#bed.oracle.tasks.acknowledged) {
      if (jobId.startsWith(`j${job}.`)) {
        void this.#session.cancel(at, jobId);
      }
    }
  }

  #race(step: Extract<SystemStep, { kind: "race" }>): void {
    const mine = this.#session.prepareRank(step.at, step.rank);
    const theirs = this.#session.prepareRank(step.other, 9 - step.rank);
    this.#sendLast(step.at, mine);
    if (theirs !== undefined) {
      void this.#session.send(step.other, theirs);
    }
  }

  #sendLast(at: SystemInstanceId, edit: PreparedEdit | undefined): void {
    if (edit !== undefined) {
      this.#lastEdit = edit;
      void this.#session.send(at, edit);
    }
  }

  async #request(
    step: Extract<SystemStep, { kind: "request" }>,
  ): Promise<void> {
    const { timeoutMs } = step;
    const requestId = `r${step.request}`;
    void this.#session.call(step.at, { requestId, timeoutMs });
    await this.#bed.pass(RETRY_MS);
    void this.#session.call(step.other, { requestId, timeoutMs });
  }

  #crash(at: SystemInstanceId): void {
    if (this.#bed.isUp(at)) {
      this.#bed.crash(at);
    }
  }

  /** A graceful stop must let every call at the instance end. */
  async #stop(at: SystemInstanceId): Promise<void> {
    const cut = await this.#session.stop(at);
    if (cut > 0) {
      this.#violations.push(`a graceful stop of ${at} cut off ${cut} calls`);
    }
  }

  /** Wipes only what is whole, as repairs come one after the other. */
  async #wipe(
    step: Extract<SystemStep, { kind: "wipe" }>,
  ): Promise<void> {
    await this.#bed.calm(REPAIR_MS);
    this.#bed.crash(step.at);
    this.#bed.disk(step.at).wipe();
    await this.#bed.pass(500);
    await this.#bed.start(step.at);
    await this.#bed.pass(REPAIR_MS);
    if (step.next !== step.at) {
      this.#bed.crash(step.next);
    }
  }

  #heal(): void {
    const stillFrozen = SYSTEM_INSTANCES.map(({ id }) => id)
      .filter((id) => this.#bed.isUp(id) && this.#bed.awake(id) === undefined);
    this.#bed.links.heal();
    stillFrozen.forEach((id) => this.#bed.links.isolate(id));
  }

  /** So that every job can run. */
  async #returnDataCentres(): Promise<void> {
    for (const dataCentre of ["north", "south"] as const) {
      const change = { dataCentre, status: "in" as const };
      const edit = this.#session.prepareStatus("s1", change);
      if (edit !== undefined) {
        await this.#bed.finish(this.#session.send("s1", edit));
      }
    }
    await this.#bed.pass(CALM_MS);
    await this.#session.untilJobsEnd(JOBS_END_MS);
  }

  #write(line: string): void {
    this.#timeline.push(`${this.#bed.clock.nowMs() - 1_000_000} ${line}`);
  }
}
