/** Guards against a small machine that takes the lease before a larger one, or leaves it vacant. */
import { PlacementHarness } from './_placement_harness';

describe('a vacant lease', () => {
  test('goes to the process on the larger machine even if a smaller one sees it first', async () => {
    const harness = new PlacementHarness();
    const small = harness.process('small', { hasLargerPeer: true });
    void small.run();
    await harness.advance(300);
    const large = harness.process('large');
    void large.run();
    await harness.advance(3_000);
    expect(large.leader).not.toBeNull();
    expect(small.leader).toBeNull();
  });

  test('goes to a small machine if no larger one acquires it', async () => {
    const harness = new PlacementHarness();
    const small = harness.process('small', { hasLargerPeer: true });
    void small.run();
    await harness.advance(2_000);
    expect(small.leader).not.toBeNull();
  });

  test('goes at once to the process that the previous leader has chosen', async () => {
    const harness = new PlacementHarness();
    const first = harness.process('first');
    void first.run();
    await harness.advance(500);
    const chosen = harness.process('chosen', { hasLargerPeer: true });
    void chosen.run();
    await harness.advance(500);
    first.leader?.resign();
    chosen.onLeaderResigned(1);
    await harness.advance(200);
    expect(chosen.leader).not.toBeNull();
  });
});
