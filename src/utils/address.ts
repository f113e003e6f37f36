/**
 * Network addresses of processes: an IP address and a port.
 */
import { isIP } from 'node:net';

const maxPort = 65_535;

export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Parses `ip:port`, with IPv6 addresses in brackets. Returns undefined if `text` is invalid. */
export const parseAddress = (text: string): Address | undefined => {
  const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text);
  const host = match?.[1] ?? match?.[2] ?? '';
  const port = Number(match?.[3]);
  return isIP(host) !== 0 && port <= maxPort ? { host, port } : undefined;
};

/** Formats an address in the form that `parseAddress` accepts. */
export const formatAddress = ({ host, port }: Address): string =>
  host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;

/** True if a connection can be opened to the address. Port 0 is only valid for listening. */
export const isConnectable = (text: string): boolean => (parseAddress(text)?.port ?? 0) > 0;
