/** Spreads a wave over availability zones and racks. */
import { countIn, firstBy, WavePolicy, type PlacedInstance } from './wave_policy';

/**
 * Takes instances from the availability zone and rack with the fewest
 * instances out of service, so that no failure domain loses much at once.
 */
export class SpreadWavePolicy extends WavePolicy {
  override readonly name = 'spread';

  override next(
    candidates: readonly PlacedInstance[],
    out: readonly PlacedInstance[],
  ): PlacedInstance | null {
    return firstBy(candidates, ({ rack, availabilityZone }) => [
      countIn(out, 'availabilityZone', availabilityZone),
      countIn(out, 'rack', rack),
      -countIn(candidates, 'availabilityZone', availabilityZone),
    ]);
  }
}
