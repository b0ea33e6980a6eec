/** Guards against plug-ins set up in the wrong order, and against an error that stops the event loop. */
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
  test('plug-ins are set up after those that they require and stopped in reverse order', async () => {
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

  test('a plug-in whose requirement is missing is rejected instead of set up without it', () => {
    const kernel = newKernel();
    const create = () => new RecordingPlugin('b', ['a'], []);
    expect(() => {
      kernel.load([{ name: 'b', create }]);
    }).toThrow('requires "a"');
  });

  test('later turns run after one that throws', async () => {
    const errors: unknown[] = [];
    const kernel = newKernel(errors);
    const ping = eventType<number>('ping');
    const received: number[] = [];
    kernel.events.subscribe(ping, () => {
      throw new Error('broken handler');
    });
    kernel.events.subscribe(ping, (value) => received.push(value));
    kernel.events.publish(ping, 7);
    await settlePromises();
    expect(received).toEqual([7]);
    expect(errors).toHaveLength(1);
  });

  test('the error for a capability that no plug-in provides names the capability', () => {
    expect(() => newKernel().use(capability('platform.table'))).toThrow('platform.table');
  });
});
