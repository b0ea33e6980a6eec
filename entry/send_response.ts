/** Sends a response over the caller's connection. */
import type { ServerResponse } from 'node:http';
import { pipeline } from 'node:stream';
import type { CallerResponse } from './request_flow';

/** Headers that are not sent to callers: they belong to one connection (RFC 9110, section 7.6.1) or to the exchange with the target. */
const STRIPPED_HEADERS: ReadonlySet<string> = new Set([
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
 * Streams the response. If its body ends early, the caller's connection is
 * destroyed: ending it normally would present a truncated response as complete.
 */
export function sendResponse(outgoing: ServerResponse, method: string, response: CallerResponse): void {
  const { status, headers, body } = response;
  outgoing.writeHead(status, forwardedHeaders(headers));
  if (method === 'HEAD' || status === 204 || status === 304) {
    body.resume();
    outgoing.end();
    return;
  }
  // The status and the headers are sent at once, because a streamed response may take
  // long to produce its first chunk.
  outgoing.flushHeaders();
  pipeline(body, outgoing, () => undefined);
}

function forwardedHeaders(headers: CallerResponse['headers']): Record<string, string | string[]> {
  const connectionHeaders = String(headers.connection ?? '')
    .toLowerCase()
    .split(',')
    .map((name) => name.trim());
  return Object.fromEntries(
    Object.entries(headers)
      .filter(([name]) => !STRIPPED_HEADERS.has(name) && !connectionHeaders.includes(name))
      .map(([name, value]) => [name, typeof value === 'string' ? value : [...value]]),
  );
}
