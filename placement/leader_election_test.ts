/** Guards which process takes a vacant role when machines differ in size. */
import { PlacementHarness } from './_placement_harness';

describe('a vacant lease', () => {
  test('goes to the process on the large machine, also if a small one sees it first', async () => {
    const world = new PlacementHarness();
    const small = world.process('small', { hasLargerPeer: true });
    void small.run();
    await world.advance(300);
    const large = world.process('large');
    void large.run();
    await world.advance(3_000);
    expect(large.leader).not.toBeNull();
    expect(small.leader).toBeNull();
  });

  test('is taken by a small machine when no larger one comes', async () => {
    const world = new PlacementHarness();
    const small = world.process('small', { hasLargerPeer: true });
    void small.run();
    await world.advance(2_000);
    expect(small.leader).not.toBeNull();
  });

  test('is taken at once by the process that the former holder has chosen', async () => {
    const world = new PlacementHarness();
    const first = world.process('first');
    void first.run();
    await world.advance(500);
    const chosen = world.process('chosen', { hasLargerPeer: true });
    void chosen.run();
    await world.advance(500);
    first.leader?.resign();
    chosen.onLeaderResigned(1);
    await world.advance(200);
    expect(chosen.leader).not.toBeNull();
  });
});
