/**
 * Fences for orders to workers. A worker refuses an order with a lower fence
 * than the highest one that it has seen.
 *
 * @module
 */

/** How many incarnations of one worker an epoch has fences for. */
const INCARNATIONS_PER_EPOCH = 1_000;

/**
 * Gives each incarnation at an address a higher fence than the one before. So an
 * order for an earlier incarnation that arrives late is refused once the present
 * one has received any order: the address would not tell them apart, nor the ID,
 * since a worker may restart under the same one.
 */
export class IncarnationFences {
  readonly #epoch: number;
  /** Incarnations so far, by address. */
  readonly #incarnations = new Map<string, number>();

  /** `epoch` is the leader's; later epochs have higher fences throughout. */
  constructor(options: { epoch: number }) {
    this.#epoch = options.epoch;
  }

  /**
   * The fence for the next incarnation at an address. After 999 in one epoch further
   * ones share a fence.
   */
  next(address: string): number {
    const incarnation = Math.min(
      INCARNATIONS_PER_EPOCH - 1,
      (this.#incarnations.get(address) ?? 0) + 1,
    );
    this.#incarnations.set(address, incarnation);
    return this.#epoch * INCARNATIONS_PER_EPOCH + incarnation;
  }
}
