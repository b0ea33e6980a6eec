/** Extension point for routes of the caller API. */
import type { Hono } from 'hono';

/** Adds routes to the caller API, which converts the errors that they throw into problem details. */
export abstract class CallerRoutes {
  abstract addTo(app: Hono): void;
}
