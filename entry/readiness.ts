/** Whether the load balancer should send requests to this entry instance. */
import { capability } from '../kernel/capability';

export const READINESS = capability<Readiness>('entry.readiness');

export class Readiness {
  private ready = false;

  isReady(): boolean {
    return this.ready;
  }

  set(ready: boolean): void {
    this.ready = ready;
  }
}
