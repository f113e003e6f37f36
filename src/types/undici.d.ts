/**
 * Modules of undici that are imported directly: its main module also loads fetch, WebSocket and
 * caches, which cost a node 0.1 s of processor time at start and 8 MB of memory.
 */
declare module 'undici/lib/dispatcher/pool.js' {
  import { Pool } from 'undici';

  export default Pool;
}

declare module 'undici/lib/core/connect.js' {
  import { buildConnector } from 'undici';

  export default buildConnector;
}
