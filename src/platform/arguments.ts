/**
 * Command line argument of the programs for the platform: `--admin-port PORT`, the port for metrics
 * and health checks, as specified in the deploy file.
 */
import { parseArgs } from 'node:util';
import { Failure } from '../utils/failure.js';

const maxPort = 65_535;

/** Reads the admin port. Throws `invalid_settings`. */
export const readAdminPort = (): number => {
  const { values } = parseArgs({ options: { 'admin-port': { type: 'string' } }, strict: false });
  const port = Number(values['admin-port']);
  if (!Number.isInteger(port) || port < 1 || port > maxPort) {
    throw new Failure('invalid_settings', '--admin-port: a port from 1 to 65535');
  }
  return port;
};
