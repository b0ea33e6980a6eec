/** Checks addresses that other programs have written. */

const IPV4_PATTERN = /^(?:0|[1-9]\d{0,2})(?:\.(?:0|[1-9]\d{0,2})){3}$/;
const MAX_OCTET = 255;
const PORT_PATTERN = /^[1-9]\d{0,4}$/;
const MAX_PORT = 65_535;

/**
 * Whether a text is an IPv4 address and a port from 1 to 65535.
 *
 * @example
 * ```ts
 * isSocketAddress('10.0.0.1:8344'); // true
 * isSocketAddress('10.0.0.1:99999'); // false
 * ```
 */
export function isSocketAddress(text: string): boolean {
  const [host = '', port = '', ...rest] = text.split(':');
  return (
    rest.length === 0 &&
    IPV4_PATTERN.test(host) &&
    host.split('.').every((octet) => Number(octet) <= MAX_OCTET) &&
    PORT_PATTERN.test(port) &&
    Number(port) <= MAX_PORT
  );
}
