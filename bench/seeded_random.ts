/** Reproducible pseudo-random numbers. */

/** Uniformly distributed numbers in [0, 1) by mulberry32; the same seed gives the same numbers. */
export function seededRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
}

/** An exponentially distributed number with the given mean. */
export function exponential(random: () => number, mean: number): number {
  return -mean * Math.log(1 - random());
}
