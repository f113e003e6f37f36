/**
 * Binds an HTTP server to an address and maps errors to a Failure.
 */
import type { Server } from 'node:http';
import { Failure } from '../utils/failure.js';
import type { Address } from './rpc.js';

/** Resolves with the bound address. Rejects with `address_in_use` or `invalid_settings`. */
export const listenHttp = (server: Server, { host, port }: Address): Promise<Address> =>
  new Promise((resolve, reject) => {
    const onError = (error: NodeJS.ErrnoException) => {
      const reason = error.code === 'EADDRINUSE' ? 'address_in_use' : 'invalid_settings';
      reject(new Failure(reason, `${host}:${port}`, { cause: error }));
    };
    server.once('error', onError);
    server.listen(port, host, () => {
      server.removeListener('error', onError);
      const bound = server.address();
      resolve({ host, port: typeof bound === 'object' && bound ? bound.port : port });
    });
  });
