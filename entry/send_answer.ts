/** Sends an answer over the caller's connection. */
import type { ServerResponse } from 'node:http';
import { pipeline } from 'node:stream';
import type { CallerAnswer } from './request_flow';

/** Headers that belong to one connection (RFC 9110, section 7.6.1) or to the exchange with the target. */
const UNSENT_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'endivestand-attempt-id',
  'keep-alive',
  'proxy-authenticate',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/**
 * Streams the answer. If its body ends early, the caller's connection is
 * destroyed: ending it regularly would present a cut answer as complete.
 */
export function sendAnswer(response: ServerResponse, method: string, answer: CallerAnswer): void {
  const { status, headers, body } = answer;
  response.writeHead(status, sentHeaders(headers));
  if (method === 'HEAD' || status === 204 || status === 304) {
    body.resume();
    response.end();
    return;
  }
  // The head is sent at once: a streamed answer may take long to produce its first part.
  response.flushHeaders();
  pipeline(body, response, () => undefined);
}

function sentHeaders(headers: CallerAnswer['headers']): Record<string, string | string[]> {
  const listed = String(headers.connection ?? '')
    .toLowerCase()
    .split(',')
    .map((name) => name.trim());
  return Object.fromEntries(
    Object.entries(headers)
      .filter(([name]) => !UNSENT_HEADERS.has(name) && !listed.includes(name))
      .map(([name, value]) => [name, typeof value === 'string' ? value : [...value]]),
  );
}
