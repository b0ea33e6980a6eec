/** Guards against more commands a second than the platform accepts. */
import { CommandBudget } from './command_budget';

test.each([5, 64, 310])('never grants more than %s commands in any second', (perSecond) => {
  const budget = new CommandBudget({ acceptedPerSecond: perSecond, processors: 8 });
  const grantedAtMs: number[] = [];
  for (let nowMs = 1_000; nowMs < 11_000; nowMs += 50)
    for (let asked = 0; asked < 200; asked += 1) if (budget.take(nowMs)) grantedAtMs.push(nowMs);
  for (const fromMs of grantedAtMs.filter((atMs) => atMs >= 2_000)) {
    const inSecond = grantedAtMs.filter((atMs) => atMs >= fromMs && atMs < fromMs + 1_000).length;
    expect(inSecond).toBeLessThanOrEqual(perSecond);
    if (fromMs < 10_000) expect(inSecond).toBeGreaterThanOrEqual(Math.floor(perSecond * 0.85));
  }
});

test('a small process sends no more commands than it can open sessions for', () => {
  const budget = new CommandBudget({ acceptedPerSecond: 310, processors: 0.3 });
  let granted = 0;
  for (let nowMs = 1_000; nowMs < 6_000; nowMs += 50)
    for (let asked = 0; asked < 200; asked += 1) if (budget.take(nowMs)) granted += 1;
  expect(granted).toBeGreaterThan(140);
  expect(granted).toBeLessThanOrEqual(160);
});
