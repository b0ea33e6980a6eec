/** Further routes of the callers API. */
import type { Hono } from 'hono';

/** Adds routes to the callers API, which answers what they throw as problem details. */
export abstract class CallerRoutes {
  abstract addTo(app: Hono): void;
}
