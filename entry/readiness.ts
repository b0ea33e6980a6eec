/** Readiness of this entry instance: whether the load balancer should send requests to it. */
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
