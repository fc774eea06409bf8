/**
 * Fences for orders to workers. A worker refuses an order with a lower fence
 * than the highest one that it has seen.
 *
 * @module
 */

/** How many incarnations of one worker an epoch has fences for. */
const INCARNATIONS_PER_EPOCH = 1_000;

/**
 * Gives each incarnation of a worker a higher fence than the one before. So an
 * order for an earlier incarnation that arrives late is refused once the present
 * one has received any order: its own ID would not tell them apart, since a
 * worker may restart under the same one.
 */
export class IncarnationFences {
  readonly #epoch: number;
  /** Incarnations so far, by worker ID. */
  readonly #incarnations = new Map<string, number>();

  /** `epoch` is the leader's; later epochs have higher fences throughout. */
  constructor(options: { epoch: number }) {
    this.#epoch = options.epoch;
  }

  /**
   * The fence for a worker's next incarnation. After 999 in one epoch further
   * ones share a fence.
   */
  next(workerId: string): number {
    const incarnation = Math.min(
      INCARNATIONS_PER_EPOCH - 1,
      (this.#incarnations.get(workerId) ?? 0) + 1,
    );
    this.#incarnations.set(workerId, incarnation);
    return this.#epoch * INCARNATIONS_PER_EPOCH + incarnation;
  }
}
