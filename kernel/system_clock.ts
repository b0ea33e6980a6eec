/** Clock that uses the real time and timers of the process. */
import { Clock, type Timer } from './clock';

/** Reads the operating system's monotonic and wall clocks. */
export class SystemClock extends Clock {
  override monotonicMs(): number {
    return performance.now();
  }

  override wallMs(): number {
    return Date.now();
  }

  override schedule(delayMs: number, callback: () => void): Timer {
    const handle = setTimeout(callback, delayMs);
    return {
      cancel: () => {
        clearTimeout(handle);
      },
    };
  }
}
