/** Gathers a wave within one failure domain at a time. */
import { countIn, firstBy, WavePolicy, type PlacedInstance } from './wave_policy';

/**
 * Takes instances from the rack and availability zone that already have the
 * most instances out of service. A domain that fails during the wave then
 * takes down instances that are out anyway.
 */
export class GatherWavePolicy extends WavePolicy {
  override readonly name = 'gather';

  override next(
    candidates: readonly PlacedInstance[],
    out: readonly PlacedInstance[],
  ): PlacedInstance | null {
    return firstBy(candidates, ({ rack, availabilityZone }) => [
      -countIn(out, 'rack', rack),
      -countIn(out, 'availabilityZone', availabilityZone),
      countIn(candidates, 'rack', rack),
    ]);
  }
}
