/**
 * Runs a random history on a new simulation and checks it.
 *
 * @module
 */

import { SystemSimulation } from "./system_simulation.ts";
import { SYSTEM_INSTANCES, type SystemInstanceId } from "./system_document.ts";
import type { SystemMutation } from "./system_mutation.ts";
import { type PreparedEdit, SystemSession } from "./system_session.ts";
import type { SystemStep } from "./system_step.ts";

/** Options of a history. */
export interface HistoryOptions {
  readonly seed: number;
  readonly mutation?: SystemMutation;
}

/** The result of a history. */
export interface HistoryResult {
  readonly violations: readonly string[];
  /** Steps, results of calls and events of all instances, in order. */
  readonly timeline: readonly string[];
}

/** Within this time after the last fault the system must have recovered. */
const QUIET_PERIOD_MS = 60_000;

/** How long the jobs may take to end after that, as they queue for workers. */
const JOBS_END_LIMIT_MS = 400_000;

/** The delay before a request is retried at another instance. */
const RETRY_DELAY_MS = 40;

/** How long the repair of an instance that lost its disk may take. */
const REPAIR_LIMIT_MS = 15_000;

/** Runs the steps and checks the outcome. */
export async function runHistory(
  steps: readonly SystemStep[],
  options: HistoryOptions,
): Promise<HistoryResult> {
  const run = new HistoryRun(options);
  return await run.run(steps);
}

class HistoryRun {
  readonly #simulation: SystemSimulation;
  readonly #session: SystemSession;
  readonly #timeline: string[] = [];
  readonly #violations: string[] = [];
  #lastEdit: PreparedEdit | undefined;

  constructor(options: HistoryOptions) {
    this.#simulation = new SystemSimulation({
      ...options,
      onEvent: (instance, name, fields) =>
        name === "serverAnnounced"
          ? undefined
          : this.#write(`${instance} ${name} ${JSON.stringify(fields ?? {})}`),
    });
    this.#session = new SystemSession(this.#simulation, {
      writeLine: (line) => this.#write(line),
    });
  }

  async run(steps: readonly SystemStep[]): Promise<HistoryResult> {
    await this.#simulation.open();
    for (const step of steps) {
      this.#write(`> ${JSON.stringify(step)}`);
      await this.#applyStep(step);
      await this.#simulation.advance(5);
    }
    this.#write("> all faults end");
    await this.#simulation.endFaultsAndWait(QUIET_PERIOD_MS);
    await this.#putDataCentresIn();
    await this.#session.checkFinalState();
    this.#simulation.close();
    const violations = [
      ...this.#violations,
      ...this.#simulation.oracle.violations(),
    ];
    return { violations, timeline: this.#timeline };
  }

  async #applyStep(step: SystemStep): Promise<void> {
    const { links, workers, servers } = this.#simulation;
    switch (step.kind) {
      case "pass":
        return await this.#simulation.advance(step.byMs);
      case "submit": {
        // The ID is made of the values: equal steps submit the same job again.
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
          void this.#session.sendEdit(step.at, this.#lastEdit);
        }
        return;
      case "switch":
        return this.#sendNewEdit(
          step.at,
          this.#session.prepareStatusEdit(step.at, step),
        );
      case "request":
        return await this.#request(step);
      case "serverFaults":
        servers.faultRate = step.rate;
        return;
      case "crash":
        return this.#crash(step.at);
      case "start":
        this.#simulation.resume(step.at);
        return await this.#simulation.start(step.at);
      case "stop":
        return await this.#stop(step.at);
      case "wipe":
        return await this.#wipe(step);
      case "freeze":
        return this.#simulation.freeze(step.at);
      case "resume":
        return this.#simulation.resume(step.at);
      case "cutOneWay":
        return links.cutOneWay(step.at, step.other);
      case "cutRegions":
        return links.cutRegions();
      case "heal":
        return this.#heal();
      case "weather":
        return links.setConditions({ rate: step.rate, jitterMs: 100 });
      case "failing":
        return workers.setFailing(step.worker, step.isOn);
      case "worker":
        return step.lives
          ? workers.revive(step.worker)
          : workers.die(step.worker);
    }
  }

  #cancel(at: SystemInstanceId, job: number): void {
    for (const jobId of this.#simulation.oracle.tasks.acknowledged) {
      if (jobId.startsWith(`j${job}.`)) {
        void this.#session.cancel(at, jobId);
      }
    }
  }

  #race(step: Extract<SystemStep, { kind: "race" }>): void {
    const first = this.#session.prepareRankEdit(step.at, step.rank);
    const second = this.#session.prepareRankEdit(step.other, 9 - step.rank);
    this.#sendNewEdit(step.at, first);
    if (second !== undefined) {
      void this.#session.sendEdit(step.other, second);
    }
  }

  #sendNewEdit(at: SystemInstanceId, edit: PreparedEdit | undefined): void {
    if (edit !== undefined) {
      this.#lastEdit = edit;
      void this.#session.sendEdit(at, edit);
    }
  }

  async #request(
    step: Extract<SystemStep, { kind: "request" }>,
  ): Promise<void> {
    const { timeoutMs } = step;
    const requestId = `r${step.request}`;
    void this.#session.sendRequest(step.at, { requestId, timeoutMs });
    await this.#simulation.advance(RETRY_DELAY_MS);
    void this.#session.sendRequest(step.other, { requestId, timeoutMs });
  }

  #crash(at: SystemInstanceId): void {
    if (this.#simulation.isUp(at)) {
      this.#simulation.crash(at);
    }
  }

  /** Stops an instance; a request that does not end is a violation. */
  async #stop(at: SystemInstanceId): Promise<void> {
    const unfinishedRequests = await this.#session.stop(at);
    if (unfinishedRequests > 0) {
      this.#violations.push(
        `${unfinishedRequests} requests did not end in a graceful stop of ${at}`,
      );
    }
  }

  /**
   * Ends all faults and waits, as only one instance is repaired at a time; then
   * wipes an instance's disk, and crashes `next` after the repair.
   */
  async #wipe(
    step: Extract<SystemStep, { kind: "wipe" }>,
  ): Promise<void> {
    await this.#simulation.endFaultsAndWait(REPAIR_LIMIT_MS);
    this.#simulation.crash(step.at);
    this.#simulation.disk(step.at).wipe();
    await this.#simulation.advance(500);
    await this.#simulation.start(step.at);
    await this.#simulation.advance(REPAIR_LIMIT_MS);
    if (step.next !== step.at) {
      this.#simulation.crash(step.next);
    }
  }

  /** Ends cuts and link faults, except that frozen instances stay isolated. */
  #heal(): void {
    const stillFrozen = SYSTEM_INSTANCES.map(({ id }) => id)
      .filter((id) =>
        this.#simulation.isUp(id) &&
        this.#simulation.responsive(id) === undefined
      );
    this.#simulation.links.heal();
    stillFrozen.forEach((id) => this.#simulation.links.isolate(id));
  }

  /** Puts both data centres in, so that every job can run, and waits for jobs. */
  async #putDataCentresIn(): Promise<void> {
    for (const dataCentre of ["north", "south"] as const) {
      const change = { dataCentre, status: "in" as const };
      const edit = this.#session.prepareStatusEdit("s1", change);
      if (edit !== undefined) {
        await this.#simulation.finish(this.#session.sendEdit("s1", edit));
      }
    }
    await this.#simulation.advance(QUIET_PERIOD_MS);
    await this.#session.waitForJobsToEnd(JOBS_END_LIMIT_MS);
  }

  #write(line: string): void {
    this.#timeline.push(
      `${this.#simulation.clock.nowMs() - 1_000_000} ${line}`,
    );
  }
}
