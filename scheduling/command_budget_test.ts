/** Guards against more commands a second than the platform accepts. */
import { CommandBudget } from './command_budget';

test.each([5, 64, 310])('never grants more than %s commands in any second', (perSecond) => {
  const budget = new CommandBudget(perSecond);
  const grantedAtMs: number[] = [];
  for (let nowMs = 1_000; nowMs < 11_000; nowMs += 50)
    for (let asked = 0; asked < 200; asked += 1) if (budget.take(nowMs)) grantedAtMs.push(nowMs);
  for (const fromMs of grantedAtMs.filter((atMs) => atMs >= 2_000)) {
    const inSecond = grantedAtMs.filter((atMs) => atMs >= fromMs && atMs < fromMs + 1_000).length;
    expect(inSecond).toBeLessThanOrEqual(perSecond);
    if (fromMs < 10_000) expect(inSecond).toBeGreaterThanOrEqual(Math.floor(perSecond * 0.85));
  }
});
