/** Concentrates a wave on one failure domain at a time. */
import { countInDomain, lowestRanked, WavePolicy, type PlacedInstance } from './wave_policy';

/**
 * Picks the instance from the rack and availability zone that already have the
 * most unavailable instances. If that failure domain fails during the wave, many
 * of its instances are out of service already, so fewer serving ones are lost.
 */
export class GatherWavePolicy extends WavePolicy {
  override readonly name = 'gather';

  override next(
    candidates: readonly PlacedInstance[],
    unavailable: readonly PlacedInstance[],
  ): PlacedInstance | null {
    return lowestRanked(candidates, ({ rack, availabilityZone }) => [
      -countInDomain(unavailable, 'rack', rack),
      -countInDomain(unavailable, 'availabilityZone', availabilityZone),
      countInDomain(candidates, 'rack', rack),
    ]);
  }
}
