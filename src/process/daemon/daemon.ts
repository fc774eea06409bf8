/**
 * One entry instance: composes the parts and stops them in order.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import {
  type Clock,
  failure,
  type RandomSource,
  type Result,
  SeededRandom,
  type SesameError,
  SystemClock,
} from "../../base/mod.ts";
import { WsPeerNetwork } from "../../connection/mod.ts";
import { HttpFront } from "../http/mod.ts";
import { Membership } from "../membership/mod.ts";
import type { Settings } from "../settings/mod.ts";
import { HybridClock, Timeline, TimelineService } from "../timeline/mod.ts";
import { type ClusterFiles, readClusterFiles } from "./cluster_files.ts";
import { instanceEndpoints } from "./instance_endpoints.ts";
import { createLogger } from "./logger.ts";
import { splitAddress } from "../../base/split_address.ts";

/** How a {@link Daemon} is started. */
export interface DaemonOptions {
  readonly settings: Settings;
  /** Called when the daemon can't go on. */
  readonly onFailed: (error: SesameError) => void;
  readonly clock?: Clock;
  readonly random?: RandomSource;
}

/** The parts of a running daemon. */
interface DaemonParts {
  readonly network: WsPeerNetwork;
  readonly timeline: Timeline;
  readonly timelineService: TimelineService;
  readonly membership: Membership;
  readonly front: HttpFront;
}

/** One running entry instance. */
export class Daemon {
  #settings: Settings;
  #clock: Clock;
  #parts: DaemonParts;

  private constructor(
    settings: Settings,
    options: { clock: Clock; parts: DaemonParts },
  ) {
    this.#settings = settings;
    this.#clock = options.clock;
    this.#parts = options.parts;
  }

  /** Opens everything; what was opened is closed again on a failure. */
  static async start(options: DaemonOptions): Promise<Result<Daemon>> {
    const { settings } = options;
    const files = readClusterFiles(settings.cluster);
    if (files.isLeft()) {
      return files;
    }
    const clock = options.clock ?? new SystemClock();
    const random = options.random ?? randomOfProcess(clock);
    const parts = composeParts(settings, {
      files: files.unsafeCoerce(),
      clock,
      random,
    });
    const daemon = new Daemon(settings, { clock, parts });
    const opened = await daemon.#open();
    return opened.map(() => daemon);
  }

  /** A graceful stop: leaves the balancer first and cuts no call off. */
  async close(signal = "close"): Promise<void> {
    const { front, membership, network, timeline, timelineService } =
      this.#parts;
    timeline.emit("processStopping", { signal });
    membership.leave();
    const deadlineMs = this.#clock.nowMs() + this.#settings.limits.stopMs;
    await front.close({ deadlineMs });
    timelineService.close();
    membership.close();
    await network.close();
    timeline.emit("processStopped");
  }

  async #open(): Promise<Result<void>> {
    const { front, network, timeline } = this.#parts;
    const opened = await openNetwork(network);
    if (opened.isLeft()) {
      return opened;
    }
    const { httpAddress } = this.#settings.instance;
    const listening = await front.listen(splitAddress(httpAddress));
    listening.ifRight(() => {
      front.markReady();
      timeline.emit("processStarted", { address: httpAddress });
    });
    if (listening.isLeft()) {
      await network.close();
    }
    return listening.map(() => undefined);
  }
}

function composeParts(
  settings: Settings,
  options: { files: ClusterFiles; clock: Clock; random: RandomSource },
): DaemonParts {
  const { files, clock, random } = options;
  const { instance } = settings;
  const incarnation = Math.floor(clock.nowMs());
  const hybridClock = new HybridClock({ clock });
  const timeline = new Timeline({
    instanceId: instance.id,
    hybridClock,
    capacity: settings.log.timelineEvents,
    logger: createLogger(settings.log),
  });
  const network = new WsPeerNetwork({
    self: { id: instance.id, address: instance.peerAddress },
    peers: settings.peers.map(({ id, peerAddress }) => ({
      id,
      address: peerAddress,
    })),
    clusterName: settings.cluster.name,
    clusterKey: files.clusterKey,
    ...(files.tls === undefined ? {} : { tls: files.tls }),
    clock,
    hybridClock,
    random,
    events: timeline,
  });
  const membership = new Membership({
    self: instance,
    httpAddress: instance.httpAddress,
    peers: settings.peers.map(({ id, dataCentre, region }) => ({
      id,
      dataCentre,
      region,
    })),
    incarnation,
    network,
    clock,
    events: timeline,
  });
  const timelineService = new TimelineService({ timeline, network, clock });
  const front = new HttpFront({
    endpoints: [
      ...timelineService.endpoints(),
      ...instanceEndpoints({
        settings,
        incarnation,
        network,
        membership,
        clock,
        groups: () => [],
        configurationVersion: () => 0,
      }),
    ],
    clock,
    eventLog: timeline,
    limits: {
      connections: settings.limits.callerConnections,
      bodyReadMs: settings.limits.bodyReadMs,
    },
  });
  return { network, timeline, timelineService, membership, front };
}

async function openNetwork(network: WsPeerNetwork): Promise<Result<void>> {
  try {
    await network.open();
    return Right(undefined);
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    return failure("unavailable", { detail });
  }
}

function randomOfProcess(clock: Clock): RandomSource {
  return new SeededRandom({ seed: Math.floor(clock.nowMs()) | 0 });
}
