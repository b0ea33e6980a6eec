/** Parameters of property tests: a fixed seed, or one from the environment for further runs by hand. */

export interface PropertyParameters {
  readonly seed: number;
  readonly numRuns: number;
}

/**
 * @example
 * ```sh
 * PROPERTY_SEED=77 PROPERTY_RUNS=500 npx jest placement/restarted_worker_property
 * ```
 */
export function propertyParameters(defaults: PropertyParameters): PropertyParameters {
  const { PROPERTY_SEED, PROPERTY_RUNS } = process.env;
  return {
    seed: Number(PROPERTY_SEED ?? defaults.seed),
    numRuns: Number(PROPERTY_RUNS ?? defaults.numRuns),
  };
}
