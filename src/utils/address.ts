/**
 * Addresses of processes: an IP address and a port.
 */
import { isIP } from 'node:net';

const maxPort = 65_535;

export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Parses `ip:port`; IPv6 addresses stand in brackets. Returns undefined for any other text. */
export const parseAddress = (text: string): Address | undefined => {
  const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text);
  const host = match?.[1] ?? match?.[2] ?? '';
  const port = Number(match?.[3]);
  return isIP(host) !== 0 && port <= maxPort ? { host, port } : undefined;
};

/** Text form of an address, as `parseAddress` reads it. */
export const formatAddress = ({ host, port }: Address): string =>
  host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;

/** True for an address that a connection can be opened to: port 0 only stands for any free one. */
export const isConnectable = (text: string): boolean => (parseAddress(text)?.port ?? 0) > 0;
