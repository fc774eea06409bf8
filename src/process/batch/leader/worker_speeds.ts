/**
 * Learns how fast each worker incarnation is, relative to the typical speed of
 * its service.
 *
 * Runs are compared with runs of the same step on other workers, corrected by
 * what is known of those workers' speeds; without any, with the typical ratio of
 * actual to estimated durations of their queue. Each job counts once for a worker.
 *
 * @module
 */

import {
  classifySpeed,
  SpeedClass,
  type SpeedEstimate,
  type WorkerSpeedRecord,
} from "../decisions/worker_speed_class.ts";
import type { WorkerKey } from "../batch_command.ts";
import type { ProgressSample } from "./run_pace.ts";
import { SustainedRate } from "./sustained_rate.ts";

/** A progress report of one run. */
export interface RunSample extends ProgressSample {
  readonly worker: WorkerKey;
  readonly service: string;
  readonly queue: string;
  /** Identifies the run, and the step whose runs it is compared with. */
  readonly runId: string;
  readonly stepId: string;
  readonly estimateMs: number;
  /** Whether the run has ended with its work done. */
  readonly isEnd: boolean;
  /** When the leader received it. */
  readonly atMs: number;
}

interface Measurement {
  /** Natural logarithm of the speed. */
  readonly logSpeed: number;
  readonly variance: number;
  readonly atMs: number;
  /** 1 if several runs were compared, less for one or an estimate alone. */
  readonly jobs: number;
}

interface WorkerEntry {
  readonly service: string;
  /** By step; the oldest is dropped first. */
  readonly measurements: Map<string, Measurement>;
  speedClass: SpeedClass;
  /** The median, once enough jobs were measured; 0 before. */
  logSpeed: number;
}

interface StepRuns {
  readonly rates: Map<string, { worker: WorkerKey; rate: SustainedRate }>;
  isRatioKnown: boolean;
}

/** Jobs remembered for each worker. */
const MEASUREMENTS_LIMIT = 48;

/** Steps whose runs are remembered for comparison; the oldest are dropped. */
const STEPS_LIMIT = 1_024;

/** Runs of one step that are measured: the first ones. */
const RUNS_PER_STEP_LIMIT = 256;

/** Ratios of estimates remembered for each queue. */
const RATIOS_LIMIT = 128;

/** With fewer ratios a queue's estimates say nothing about speeds. */
const RATIOS_MIN = 24;

/**
 * What a job counts as that was compared with its estimate alone. Estimates off
 * by 0.9 made workers slow by chance after three to six such jobs.
 */
const ESTIMATED_JOBS = 1 / 6;

/**
 * What a job counts as that was compared with one other run: that run's worker
 * may be the unusual one. Steps of two tasks made workers of 0.8 beside 1.25
 * slow by chance.
 */
const ONE_PEER_JOBS = 1 / 3;

/** The deviation of what is known of another worker's speed. */
const PEER_DEVIATION = 0.2;

/**
 * With fewer jobs a worker counts as typical where others are compared with it,
 * so that one wrong measurement doesn't spread.
 */
const KNOWN_JOBS_MIN = 2;

/** With fewer measured workers a service has no typical speed. */
const WORKERS_MIN = 4;

/**
 * The deviation between equal tasks of one step, of their logarithms: assumed
 * until enough tasks were compared, and the least that is assumed after that.
 */
const TASK_DEVIATION = 0.25;
const TASK_DEVIATION_MIN = 0.1;

/** Residuals from which a service's deviation is learned. */
const RESIDUALS_LIMIT = 256;
const RESIDUALS_MIN = 24;

/** A normal distribution's deviation over its median absolute deviation. */
const MEDIAN_DEVIATION_FACTOR = 1.48;

/** A median's variance relative to that of a mean. */
const MEDIAN_VARIANCE_FACTOR = 1.57;

/** Measurements lose half of their weight in this time. */
const HALF_LIFE_MS = 120_000;

/**
 * How long a service's typical speed is kept: computing it looks at all workers,
 * and hundreds of runs are measured in a second.
 */
const TYPICAL_SPEED_KEPT_MS = 1_000;

/** The stored speed counts as so many jobs for a new leader. */
const STORED_JOBS = 3;

/** Speeds of all workers, as one leader has measured them. */
export class WorkerSpeeds {
  readonly #workers = new Map<WorkerKey, WorkerEntry>();
  readonly #steps = new Map<string, StepRuns>();
  readonly #ratios = new Map<string, number[]>();
  /** Absolute differences between a task's speed and its worker's, by service. */
  readonly #residuals = new Map<string, number[]>();

  readonly #typical = new Map<
    string,
    { readonly logSpeed: number; readonly untilMs: number }
  >();

  readonly #countWorkers: (service: string) => number;

  constructor(options: {
    /** How many workers a service has, measured or not. */
    countWorkers: (service: string) => number;
  }) {
    this.#countWorkers = options.countWorkers;
  }

  /** Takes over what an earlier leader stored about an incarnation. */
  restore(
    worker: WorkerKey,
    { service, record, atMs }: {
      service: string;
      record: WorkerSpeedRecord;
      atMs: number;
    },
  ): void {
    const entry = this.#entryOf(worker, service);
    entry.speedClass = record.speedClass;
    const logSpeed = Math.log(record.speed);
    for (let job = 0; job < STORED_JOBS; job++) {
      const variance = TASK_DEVIATION ** 2;
      const measurement = { logSpeed, variance, atMs, jobs: 1 };
      entry.measurements.set(`stored ${job}`, measurement);
    }
    entry.logSpeed = logSpeed;
  }

  /** Drops an incarnation that is gone. */
  forget(worker: WorkerKey): void {
    this.#workers.delete(worker);
  }

  /**
   * Records a sample; returns the worker's class if that has changed, with the
   * estimate that it is from.
   */
  record(
    sample: RunSample,
  ): { speedClass: SpeedClass; estimate: SpeedEstimate } | undefined {
    const { worker, service, atMs, isEnd } = sample;
    const rate = this.#rateOf(sample);
    if (!rate.record(sample, { isEnd })) {
      return undefined;
    }
    const measurement = this.#measure(sample, rate.highest);
    if (measurement === undefined) {
      return undefined;
    }
    const entry = this.#entryOf(worker, service);
    entry.measurements.delete(sample.stepId);
    entry.measurements.set(sample.stepId, measurement);
    dropOldest(entry.measurements, MEASUREMENTS_LIMIT);
    entry.logSpeed = countJobs(entry) >= KNOWN_JOBS_MIN
      ? summarize(entry, atMs).logSpeed
      : 0;
    const estimate = this.estimateOf(worker, atMs);
    const speedClass = estimate === undefined
      ? entry.speedClass
      : classifySpeed(entry.speedClass, estimate);
    if (estimate === undefined || speedClass === entry.speedClass) {
      return undefined;
    }
    entry.speedClass = speedClass;
    return { speedClass, estimate };
  }

  /** The worker's class; unknown without enough measurements. */
  classOf(worker: WorkerKey): SpeedClass {
    return this.#workers.get(worker)?.speedClass ?? SpeedClass.unknown;
  }

  /** What is known of a worker's speed; undefined if nothing is. */
  estimateOf(worker: WorkerKey, atMs: number): SpeedEstimate | undefined {
    const entry = this.#workers.get(worker);
    const typical = entry && this.#typicalLogSpeed(entry.service, atMs);
    if (
      entry === undefined || typical === undefined ||
      entry.measurements.size === 0
    ) {
      return undefined;
    }
    const { logSpeed, variance } = summarize(entry, atMs);
    return {
      speed: Math.exp(logSpeed - typical),
      deviation: Math.sqrt(variance),
      jobs: countJobs(entry),
    };
  }

  #measure(sample: RunSample, rate: number): Measurement | undefined {
    const { atMs, estimateMs, queue } = sample;
    const logRate = Math.log(rate);
    const step = this.#steps.get(sample.stepId)!;
    const measured = [...step.rates.values()]
      .filter((each) => each.rate.highest > 0);
    const own = measured.filter(({ worker }) => worker === sample.worker)
      .map((each) => Math.log(each.rate.highest));
    const peers = measured.filter(({ worker }) => worker !== sample.worker)
      .map((peer) =>
        Math.log(peer.rate.highest) - this.#logSpeedOf(peer.worker)
      );
    const logRatio = -Math.log(rate * estimateMs) +
      this.#logSpeedOf(sample.worker);
    const ratios = this.#ratios.get(queue) ?? [];
    if (estimateMs > 0 && !step.isRatioKnown) {
      step.isRatioKnown = true;
      this.#ratios.set(queue, [...ratios, logRatio].slice(-RATIOS_LIMIT));
    }
    if (peers.length > 0) {
      const logSpeed = median(own) - median(peers);
      const residual = Math.abs(
        logRate - median(peers) - this.#logSpeedOf(sample.worker),
      );
      const variance = this.#taskVariance(sample.service, residual) *
          MEDIAN_VARIANCE_FACTOR * (1 / own.length + 1 / peers.length) +
        PEER_DEVIATION ** 2 / peers.length;
      const jobs = peers.length === 1 ? ONE_PEER_JOBS : 1;
      return { logSpeed, variance, atMs, jobs };
    }
    if (estimateMs <= 0 || ratios.length < RATIOS_MIN) {
      return undefined;
    }
    const typical = median(ratios);
    // Errors of estimates are skewed: those far too low count fully.
    const spread = ratios.reduce(
      (sum, ratio) => sum + (ratio - typical) ** 2,
      0,
    ) / ratios.length;
    return {
      logSpeed: typical + logRate + Math.log(estimateMs),
      variance: TASK_DEVIATION ** 2 + spread,
      atMs,
      jobs: ESTIMATED_JOBS,
    };
  }

  /** The variance between equal tasks, after one more residual. */
  #taskVariance(service: string, residual: number): number {
    const residuals = this.#residuals.get(service) ?? [];
    residuals.push(residual);
    if (residuals.length > RESIDUALS_LIMIT) {
      residuals.shift();
    }
    this.#residuals.set(service, residuals);
    return residuals.length < RESIDUALS_MIN ? TASK_DEVIATION ** 2 : Math.max(
      TASK_DEVIATION_MIN,
      MEDIAN_DEVIATION_FACTOR * median(residuals),
    ) ** 2;
  }

  #rateOf({ stepId, runId, worker }: RunSample): SustainedRate {
    let step = this.#steps.get(stepId);
    if (step === undefined) {
      step = { rates: new Map(), isRatioKnown: false };
      this.#steps.set(stepId, step);
      dropOldest(this.#steps, STEPS_LIMIT);
    }
    const known = step.rates.get(runId);
    if (known?.worker === worker) {
      return known.rate;
    }
    const rate = new SustainedRate();
    if (step.rates.size < RUNS_PER_STEP_LIMIT) {
      step.rates.set(runId, { worker, rate });
    }
    return rate;
  }

  #entryOf(worker: WorkerKey, service: string): WorkerEntry {
    const known = this.#workers.get(worker);
    const entry = known?.service === service ? known : {
      service,
      measurements: new Map(),
      speedClass: SpeedClass.unknown,
      logSpeed: 0,
    };
    this.#workers.set(worker, entry);
    return entry;
  }

  #logSpeedOf(worker: WorkerKey): number {
    return this.#workers.get(worker)?.logSpeed ?? 0;
  }

  /**
   * The median of all workers; undefined with too few measured ones. The others
   * count as typical: the measured ones may be mostly slow, as slow workers get
   * long work first.
   */
  #typicalLogSpeed(service: string, atMs: number): number | undefined {
    const kept = this.#typical.get(service);
    if (kept !== undefined && atMs < kept.untilMs) {
      return kept.logSpeed;
    }
    const logSpeed = this.#computeTypicalLogSpeed(service);
    if (logSpeed !== undefined) {
      const untilMs = atMs + TYPICAL_SPEED_KEPT_MS;
      this.#typical.set(service, { logSpeed, untilMs });
    }
    return logSpeed;
  }

  #computeTypicalLogSpeed(service: string): number | undefined {
    const speeds: number[] = [];
    for (const entry of this.#workers.values()) {
      if (entry.service === service && countJobs(entry) >= KNOWN_JOBS_MIN) {
        speeds.push(entry.logSpeed);
      }
    }
    if (speeds.length < WORKERS_MIN) {
      return undefined;
    }
    const unmeasured = this.#countWorkers(service) - speeds.length;
    speeds.push(...new Array<number>(Math.max(0, unmeasured)).fill(0));
    return median(speeds);
  }
}

function countJobs({ measurements }: WorkerEntry): number {
  return [...measurements.values()].reduce((sum, { jobs }) => sum + jobs, 0);
}

/** The weighted median of a worker's measurements, and its variance. */
function summarize(
  { measurements }: WorkerEntry,
  atMs: number,
): { logSpeed: number; variance: number } {
  const weighted = [...measurements.values()]
    .map(({ logSpeed, variance, atMs: measuredAtMs }) => ({
      logSpeed,
      weight: 0.5 ** (Math.max(0, atMs - measuredAtMs) / HALF_LIFE_MS) /
        variance,
    }))
    .sort((a, b) => a.logSpeed - b.logSpeed);
  const total = weighted.reduce((sum, { weight }) => sum + weight, 0);
  let sum = 0;
  const middle = weighted.find(({ weight }) => (sum += weight) >= total / 2);
  return {
    logSpeed: middle?.logSpeed ?? 0,
    variance: MEDIAN_VARIANCE_FACTOR / total,
  };
}

/** The lower median. */
function median(numbers: readonly number[]): number {
  const sorted = [...numbers].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}

function dropOldest<Key>(entries: Map<Key, unknown>, limit: number): void {
  for (const key of entries.keys()) {
    if (entries.size <= limit) {
      return;
    }
    entries.delete(key);
  }
}
