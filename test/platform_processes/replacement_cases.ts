/**
 * Which cores a play of replacements loses, wave by wave, and how they return.
 *
 * @module
 */

/** What happens to a lost core. */
export type LossKind =
  /** A core of another name and address starts in its place, empty. */
  | "replaced"
  /** It starts again at its address, without its disk. */
  | "wiped"
  /** It starts again at its address, with its disk. */
  | "restarted"
  /** It is stopped and goes on later. */
  | "frozen";

/** One loss; `voter` is a voter that doesn't lead, drawn at random. */
export interface Loss {
  readonly target: "leader" | "voter" | "firstSeed";
  readonly kind: LossKind;
}

/** Losses at the same moment. */
export interface Wave {
  readonly losses: readonly Loss[];
  /**
   * Which cores those that start are told: three that the group's next leader
   * isn't among, or the three that all were told at first, while one of these
   * runs.
   */
  readonly seeds: "strangers" | "first";
  /** Time from a loss to the next start; with strangers, at least. */
  readonly downMs: number;
}

const SHORT_DOWN_MS = 50;
const FROZEN_MS = 5_000;
const FIRST_SEEDS = [0, 1, 2];

/** The names of all cases. */
export const CASES = [
  ...["short", "strangers", "earliest", "wiped", "frozen"],
  ...["seeds", "mixed"],
];

/** The waves of a case; throws if there is none of this name. */
export function wavesOf(
  name: string,
  options: { lossesBorne: number; random: () => number },
): Wave[] {
  const { lossesBorne, random } = options;
  const wave = (
    kinds: readonly LossKind[],
    rest: Omit<Wave, "losses">,
  ): Wave => ({
    losses: leaderAndVoters(kinds.slice(0, lossesBorne)),
    ...rest,
  });
  const early = { seeds: "first", downMs: SHORT_DOWN_MS } as const;
  const strange = { seeds: "strangers", downMs: SHORT_DOWN_MS } as const;
  switch (name) {
    case "short":
      return [
        wave(["replaced", "replaced"], strange),
        wave(["replaced", "replaced"], early),
      ];
    case "strangers":
      return repeat(3, () => wave(["replaced", "replaced"], strange));
    case "earliest":
      return repeat(3, () => wave(["replaced", "replaced"], early));
    case "wiped":
      return repeat(3, () => wave(["wiped", "wiped"], early));
    case "frozen":
      return repeat(
        3,
        () => wave(["frozen", "replaced"], { ...early, downMs: FROZEN_MS }),
      );
    case "seeds":
      return [
        ...FIRST_SEEDS.map((): Wave => ({
          losses: [{ target: "firstSeed", kind: "replaced" }],
          ...early,
        })),
        wave(["restarted", "replaced"], { ...strange, downMs: 1_000 }),
      ];
    case "mixed":
      return repeat(4, () => {
        const kinds: LossKind[] = [
          ...["replaced", "replaced", "wiped"] as const,
          ...["frozen", "restarted"] as const,
        ];
        return wave([pick(kinds, random), pick(kinds, random)], {
          seeds: pick(["strangers", "first"] as const, random),
          downMs: pick([SHORT_DOWN_MS, 400, 1_000, 3_000], random),
        });
      });
    default:
      throw new Error(`no case ${name}; there are ${CASES.join(", ")}`);
  }
}

function leaderAndVoters(kinds: readonly LossKind[]): Loss[] {
  return kinds.map((kind, at) => ({
    target: at === 0 ? "leader" : "voter",
    kind,
  }));
}

function repeat(count: number, wave: () => Wave): Wave[] {
  return Array.from({ length: count }, wave);
}

function pick<T>(values: readonly T[], random: () => number): T {
  return values[Math.floor(random() * values.length)]!;
}
