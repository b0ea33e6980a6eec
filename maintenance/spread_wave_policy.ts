/** Spreads a wave over availability zones and racks. */
import { countInDomain, lowestRanked, WavePolicy, type PlacedInstance } from './wave_policy';

/**
 * Picks the instance from the availability zone and rack with the fewest
 * unavailable instances, so that no failure domain loses much capacity at once.
 */
export class SpreadWavePolicy extends WavePolicy {
  override readonly name = 'spread';

  override next(
    candidates: readonly PlacedInstance[],
    unavailable: readonly PlacedInstance[],
  ): PlacedInstance | null {
    return lowestRanked(candidates, ({ rack, availabilityZone }) => [
      countInDomain(unavailable, 'availabilityZone', availabilityZone),
      countInDomain(unavailable, 'rack', rack),
      -countInDomain(candidates, 'availabilityZone', availabilityZone),
    ]);
  }
}
