/**
 * A simulated data centre for tests: real runtimes on fake logs, links,
 * workers and configurations.
 *
 * @module
 */

import { FakeClock } from "../../../../base/fake_clock.ts";
import type { EventLog } from "../../../../base/event_log.ts";
import { SeededRandom } from "../../../../base/random_source.ts";
import type { OmittedFence } from "../../../../../standins/worker/worker_types.ts";
import {
  type JobSpecification,
  jobSpecificationSchema,
} from "../../core/job.ts";
import type { DecisionCoreFactory } from "../decision_core.ts";
import type { JobCommand, JobCommandOutcome } from "../job_command.ts";
import { JobLedger } from "../job_ledger.ts";
import type { LeaseOptions } from "../lease_rule.ts";
import type { InstanceLocation } from "../peer_calls.ts";
import { SchedulerRuntime } from "../scheduler_runtime.ts";
import type { OmittedCheck } from "../session_context.ts";
import {
  FakeConfiguration,
  type FakeConfigurationCopy,
  testDocument,
} from "./fake_configuration.ts";
import { FakeCore } from "./fake_core.ts";
import { FakeGroup, type FakeMember } from "./fake_group.ts";
import { FakeLinks, FakePeerNetwork } from "./fake_links.ts";
import { FakeWorker, FakeWorkerClient } from "./fake_worker.ts";
import { RunHistory } from "./run_history.ts";

/** What the simulated data centres of one test share. */
export interface SimulationEnvironment {
  readonly clock: FakeClock;
  readonly random: SeededRandom;
  readonly links: FakeLinks;
  readonly peers: Map<string, FakePeerNetwork>;
  readonly configuration: FakeConfiguration;
  readonly locations: readonly InstanceLocation[];
}

/** Creates an environment; instances are named after their data centre. */
export function makeEnvironment(
  options: { seed: number; dataCentres: readonly string[]; instances?: number },
): SimulationEnvironment {
  const clock = new FakeClock({ startMs: 1_000_000 });
  const random = new SeededRandom({ seed: options.seed });
  const instanceLocations = options.dataCentres.flatMap((dataCentre) =>
    Array.from({ length: options.instances ?? 3 }, (_, index) => ({
      id: `${dataCentre}-${index}`,
      dataCentre,
    }))
  );
  const document = testDocument(options.dataCentres);
  return {
    clock,
    random,
    links: new FakeLinks({ clock, random }),
    peers: new Map(),
    configuration: new FakeConfiguration({ clock, document }),
    locations: instanceLocations,
  };
}

/** Options of {@link DataCentreSimulation}. */
export interface DataCentreSimulationOptions {
  readonly environment: SimulationEnvironment;
  readonly dataCentre?: string;
  readonly workers?: number;
  /** The number of the first worker; distinct within a shared history. */
  readonly firstWorker?: number;
  /** A history shared by several data centres; by default its own. */
  readonly history?: RunHistory;
  readonly accelerators?: number;
  readonly lease?: Partial<LeaseOptions>;
  readonly omittedChecks?: readonly OmittedCheck[];
  readonly omittedFences?: readonly OmittedFence[];
  readonly lostAnswersPerMille?: number;
  readonly events?: EventLog;
  readonly createCore?: DecisionCoreFactory;
}

interface Instance {
  readonly runtime: SchedulerRuntime;
  readonly ledger: JobLedger;
  readonly configurationCopy: FakeConfigurationCopy;
  readonly member: FakeMember<JobCommand, JobCommandOutcome>;
}

/** One simulated data centre. */
export class DataCentreSimulation {
  readonly environment: SimulationEnvironment;
  readonly dataCentre: string;
  readonly group: FakeGroup<JobCommand, JobCommandOutcome>;
  readonly instances = new Map<string, Instance>();
  readonly workers = new Map<string, FakeWorker>();
  readonly history: RunHistory;
  readonly #options: DataCentreSimulationOptions;

  constructor(options: DataCentreSimulationOptions) {
    const { environment, dataCentre, lostAnswersPerMille } = options;
    this.environment = environment;
    this.#options = options;
    this.dataCentre = dataCentre ?? "dc1";
    this.history = options.history ?? new RunHistory();
    this.group = new FakeGroup({
      ...environment,
      lostAnswersPerMille: lostAnswersPerMille ?? 0,
    });
    for (const { id, dataCentre } of environment.locations) {
      if (dataCentre === this.dataCentre) {
        this.startInstance(id);
      }
    }
    for (let index = 0; index < (options.workers ?? 4); index++) {
      this.#addWorker((options.firstWorker ?? 1) + index);
    }
    this.elect(this.instanceIds[0] ?? "");
  }

  get instanceIds(): readonly string[] {
    return this.environment.locations
      .filter((location) => location.dataCentre === this.dataCentre)
      .map((location) => location.id);
  }

  instance(id: string): Instance {
    const instance = this.instances.get(id);
    if (instance === undefined) {
      throw new Error(`instance ${id} is down`);
    }
    return instance;
  }

  /** The ledger of the instance that has applied the most commands. */
  get ledger(): JobLedger {
    const instances = [...this.instances.values()];
    const ahead = instances.reduce((best, each) =>
      each.member.status().appliedIndex > best.member.status().appliedIndex
        ? each
        : best
    );
    return ahead.ledger;
  }

  /**
   * Makes an instance the leader. An earlier leader steps down immediately, so
   * that its commands may still arrive until its lease would have ended; only
   * then does the history count starts by its term as violations.
   */
  elect(id: string): boolean {
    const replacesLeader = this.group.leaderId !== undefined;
    const isElected = this.instances.has(id) && this.group.elect(id);
    const { term, options } = this.group;
    // Terms of several data centres can't be compared.
    if (isElected && this.#options.history === undefined) {
      const delayMs = replacesLeader ? options.leaseMs : 0;
      this.environment.clock.after(
        delayMs,
        () => this.history.recordTerm(term),
      );
    }
    return isElected;
  }

  startInstance(id: string): void {
    if (this.instances.has(id)) {
      return;
    }
    const { environment } = this;
    const { clock, links, peers, locations } = environment;
    const ledger = new JobLedger();
    const member = this.group.join(id, ledger);
    const copy = environment.configuration.copy();
    const runtime = new SchedulerRuntime({
      clock,
      dataCentre: this.dataCentre,
      instances: locations,
      network: new FakePeerNetwork({ selfId: id, links, peers }),
      log: member,
      ledger,
      configuration: copy,
      client: new FakeWorkerClient({
        clock,
        links,
        selfId: id,
        workers: this.workers,
      }),
      createCore: this.#options.createCore ??
        (() => new FakeCore({ dataCentre: this.dataCentre })),
      lease: this.#options.lease ?? {},
      omittedChecks: this.#options.omittedChecks ?? [],
      ...(this.#options.events === undefined
        ? {}
        : { events: this.#options.events }),
    });
    this.instances.set(id, {
      runtime,
      ledger,
      member,
      configurationCopy: copy,
    });
  }

  /** Kills the instance's process without a shutdown. */
  killInstance(id: string): void {
    const instance = this.instances.get(id);
    this.group.leave(id);
    this.instances.delete(id);
    this.environment.peers.delete(id);
    void instance?.runtime.close();
  }

  /** A small job in this data centre, with the fields of `job` replaced. */
  specify(job: Partial<JobSpecification> & { jobId: string }) {
    return jobSpecificationSchema.parse({
      clientAccount: "lab",
      jobClass: "batch",
      tasks: 1,
      resources: { cores: 1, memoryBytes: 1, accelerators: 1 },
      declaredRunMs: 1_000,
      command: ["run", "1000"],
      dataCentres: [this.dataCentre],
      ...job,
    });
  }

  async submit(
    job: Partial<JobSpecification> & { jobId: string },
  ): Promise<boolean> {
    const [first] = this.instances.values();
    const result = await first?.runtime.submit(this.specify(job));
    return result?.isRight() ?? false;
  }

  async cancel(jobId: string): Promise<boolean> {
    const [first] = this.instances.values();
    const result = await first?.runtime.cancel(jobId);
    return result?.isRight() ?? false;
  }

  /** Advances the clock by `byMs`, with all that is due by then. */
  async advance(byMs: number): Promise<void> {
    await advanceTime(this.environment.clock, byMs);
  }

  #addWorker(workerNumber: number): void {
    const { clock, random, links } = this.environment;
    const workerId = `w${workerNumber}`;
    const worker = new FakeWorker({
      clock,
      workerId,
      rack: `r${1 + workerNumber % 2}`,
      accelerators: this.#options.accelerators ?? 8,
      // Within the default `clockDriftFraction` of 0.001, either way.
      rate: 1 + (workerNumber % 2 === 0 ? 0.0004 : -0.0004),
      onTaskEvent: (event) =>
        this.history.record({ ...event, atMs: clock.nowMs() }),
      omittedFences: this.#options.omittedFences ?? [],
    });
    this.workers.set(workerId, worker);
    clock.every(1_000, () => {
      const report = worker.report();
      const ids = [...this.instances.keys()];
      const to = ids[random.nextInt(Math.max(1, ids.length))];
      if (report === undefined || to === undefined) {
        return;
      }
      links.send(
        { from: workerId, to },
        () => this.instances.get(to)?.runtime.acceptWorkerReport(report),
      );
    });
  }
}

/** Advances the clock timer by timer, running promises in between. */
export async function advanceTime(
  clock: FakeClock,
  byMs: number,
): Promise<void> {
  const endMs = clock.steadyMs() + byMs;
  await runPromises();
  let dueMs = clock.nextDueMs();
  while (dueMs !== undefined && dueMs <= endMs) {
    clock.advance(Math.max(0, dueMs - clock.steadyMs()));
    await runPromises();
    dueMs = clock.nextDueMs();
  }
  clock.advance(Math.max(0, endMs - clock.steadyMs()));
  await runPromises();
}

/** Runs the callbacks of all promises that are resolved. */
function runPromises(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
