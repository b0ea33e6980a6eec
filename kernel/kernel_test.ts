import { capability } from './capability';
import { eventType } from './events';
import { Kernel } from './kernel';
import { Plugin } from './plugin';
import { VirtualClock, settlePromises } from './virtual_clock';

class RecordingPlugin extends Plugin {
  constructor(
    override readonly name: string,
    override readonly requires: readonly string[],
    private readonly log: string[],
  ) {
    super();
  }
  override setUp(): void {
    this.log.push(`set up ${this.name}`);
  }
  override stop(): Promise<void> {
    this.log.push(`stop ${this.name}`);
    return Promise.resolve();
  }
}

function newKernel(errors: unknown[] = []): Kernel {
  return new Kernel({ clock: new VirtualClock(), onTurnError: (error) => errors.push(error) });
}

describe('Kernel', () => {
  test('sets up requirements first and stops in reverse order', async () => {
    const log: string[] = [];
    const kernel = newKernel();
    kernel.load([
      { name: 'b', create: () => new RecordingPlugin('b', ['a'], log) },
      { name: 'a', create: () => new RecordingPlugin('a', [], log) },
    ]);
    await kernel.start();
    await kernel.stop();
    expect(log).toEqual(['set up a', 'set up b', 'stop b', 'stop a']);
  });

  test('refuses a missing requirement instead of starting without it', () => {
    const kernel = newKernel();
    const create = () => new RecordingPlugin('b', ['a'], []);
    expect(() => {
      kernel.load([{ name: 'b', create }]);
    }).toThrow('requires "a"');
  });

  test('a failing turn does not keep later turns from running', async () => {
    const errors: unknown[] = [];
    const kernel = newKernel(errors);
    const ping = eventType<number>('ping');
    const seen: number[] = [];
    kernel.events.subscribe(ping, () => {
      throw new Error('broken handler');
    });
    kernel.events.subscribe(ping, (value) => seen.push(value));
    kernel.events.publish(ping, 7);
    await settlePromises();
    expect(seen).toEqual([7]);
    expect(errors).toHaveLength(1);
  });

  test('using a capability nobody provides names it', () => {
    expect(() => newKernel().use(capability('platform.table'))).toThrow('platform.table');
  });
});
