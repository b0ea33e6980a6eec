/** Processor profile of this process, by function. */
import { Session, type Profiler } from 'node:inspector';

export interface ProfiledFunction {
  readonly location: string;
  readonly selfMs: number;
}

/** Samples this process until {@link CpuProfile.stop}. */
export class CpuProfile {
  private readonly session = new Session();

  start(): void {
    this.session.connect();
    this.session.post('Profiler.enable');
    this.session.post('Profiler.setSamplingInterval', { interval: 500 });
    this.session.post('Profiler.start');
  }

  /** Functions by the processor time spent in them and not in functions they call, highest first. */
  stop(): Promise<readonly ProfiledFunction[]> {
    return new Promise((resolve, reject) => {
      this.session.post('Profiler.stop', (error, { profile }) => {
        if (error === null) resolve(selfTimes(profile));
        else reject(error);
      });
    });
  }
}

function selfTimes({ nodes, samples = [], timeDeltas = [] }: Profiler.Profile): readonly ProfiledFunction[] {
  const locations = new Map(
    nodes.map(({ id, callFrame: { functionName, url, lineNumber } }) => [
      id,
      `${functionName === '' ? '(anonymous)' : functionName} ${url.split('/').slice(-2).join('/')}:${lineNumber + 1}`,
    ]),
  );
  const selfMs = new Map<string, number>();
  samples.forEach((id, index) => {
    const location = locations.get(id) ?? '';
    selfMs.set(location, (selfMs.get(location) ?? 0) + (timeDeltas[index] ?? 0) / 1_000);
  });
  return [...selfMs].map(([location, ms]) => ({ location, selfMs: ms })).sort((a, b) => b.selfMs - a.selfMs);
}
