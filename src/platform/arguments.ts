/**
 * Command line arguments of the programs for the platform, as specified in the deploy file:
 * `--admin-port PORT`, the port for metrics and health checks, and for a node `--whole-call` and
 * `--adaptive-pace`, which the platform's settings file has no fields for.
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

/** Features of a node that are off unless the deploy file asks for them. */
export interface NodeFeatures {
  /** See `admission.whole_call` of the node settings. */
  readonly wholeCall: boolean;
  /** See `routing.adaptive_pace` of the node settings. */
  readonly adaptivePace: boolean;
}

export const readNodeFeatures = (
  args: readonly string[] = process.argv.slice(2),
): NodeFeatures => ({
  wholeCall: args.includes('--whole-call'),
  adaptivePace: args.includes('--adaptive-pace'),
});
