/**
 * The platform's interface for operators, on the control instances: a document is put, or the one in
 * force is read. An instance that does not lead sends the operator on to the one that does.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import polka from 'polka';
import { listenHttp } from '../plugins/httpListen.js';
import { sendError, sendJson } from '../plugins/operators/adminServer.js';
import type {
  DocumentChanges,
  DocumentOutcome,
  NotLeader,
} from '../plugins/operators/documentChanges.js';
import { readText } from '../plugins/readText.js';
import { parseAddress, type Address } from '../plugins/rpc.js';
import type { Log } from '../utils/log.js';

/** A deployment of hundreds of routes has documents of some hundred KiB. */
const maxDocumentBytes = 8 * 1024 * 1024;
const unavailableRetrySeconds = '0.2';

export interface OperatorServerOptions {
  readonly address: Address;
  readonly documents: DocumentChanges;
  readonly log: Log;
}

/** Creates the server of a control instance's operator address. */
export const createOperatorServer = ({ address, documents, log }: OperatorServerOptions) => {
  const server = createServer();

  const sendElsewhere = (response: ServerResponse, { leader }: NotLeader, path: string) => {
    const host = leader === undefined ? undefined : parseAddress(leader)?.host;
    if (host === undefined) {
      response.setHeader('retry-after', unavailableRetrySeconds);
      sendJson(response, 503, { message: 'no leader that a quorum confirms' });
      return;
    }
    // All control instances serve operators at the same port.
    response.setHeader('location', `http://${host}:${address.port}${path}`);
    sendJson(response, 307, {});
  };

  type Senders = {
    [Kind in DocumentOutcome['outcome']]: (
      response: ServerResponse,
      outcome: Extract<DocumentOutcome, { outcome: Kind }>,
      path: string,
    ) => void;
  };

  const senders: Senders = {
    accepted: (response) => sendJson(response, 200, {}),
    conflict: (response) => sendJson(response, 412, { message: 'another version is in place' }),
    invalid: (response, { message }) => sendJson(response, 400, { message }),
    unknown: (response) => sendJson(response, 504, { message: 'the outcome is unknown' }),
    not_here: sendElsewhere,
  };

  const put = async (request: IncomingMessage, response: ServerResponse, path: string) => {
    const outcome = await documents.commands.submit(await readText(request, maxDocumentBytes));
    log.info('document answered', { outcome: outcome.outcome });
    const send = senders[outcome.outcome] as (
      to: ServerResponse,
      sent: DocumentOutcome,
      at: string,
    ) => void;
    send(response, outcome, path);
  };

  const get = async (response: ServerResponse, path: string) => {
    const reading = await documents.queries.read();
    if (reading.outcome === 'not_here') {
      sendElsewhere(response, reading, path);
      return;
    }
    if (reading.outcome === 'none') {
      sendJson(response, 503, { message: 'no configuration was accepted yet' });
      return;
    }
    const body = Buffer.from(reading.text);
    response.writeHead(200, { 'content-type': 'application/json', 'content-length': body.length });
    response.end(body);
  };

  const guard = (response: ServerResponse, handling: Promise<void>) => {
    handling.catch((error: unknown) => {
      log.warn('operator call failed', { error: String(error) });
      sendError(response, error);
    });
  };

  const router = polka({ server });
  router.post('/Config.Put', (request, response) =>
    guard(response, put(request, response, request.originalUrl)),
  );
  router.get('/Config.Get', (request, response) =>
    guard(response, get(response, request.originalUrl)),
  );
  server.on('request', router.handler);

  return {
    listen: () => listenHttp(server, address),
    close: async () => {
      server.close();
      server.closeAllConnections();
    },
  };
};
