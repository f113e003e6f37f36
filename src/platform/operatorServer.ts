/**
 * HTTP API of a control instance for the platform's operators: submits a configuration document or
 * reads the one in force, orders a rollout or reads its state. An instance that is not the leader redirects to the leader.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import polka from 'polka';
import { listenHttp } from '../plugins/httpListen.js';
import { sendError, sendJson } from '../plugins/operators/adminServer.js';
import type { DocumentChanges, DocumentOutcome } from '../plugins/operators/documentChanges.js';
import type { NotLeader } from '../plugins/operators/leaderOperations.js';
import type { OrderOutcome, RolloutOrders } from '../plugins/operators/rolloutOrders.js';
import { readText } from '../plugins/readText.js';
import { parseAddress, type Address } from '../plugins/rpc.js';
import type { Log } from '../utils/log.js';
import { readOrder, readServiceName, writeRollout } from './rolloutHandlers.js';

/** A deployment with hundreds of routes has documents of several hundred KiB. */
const maxDocumentBytes = 8 * 1024 * 1024;
const maxOrderBytes = 64 * 1024;
const unavailableRetrySeconds = '0.2';

export interface OperatorServerOptions {
  readonly address: Address;
  readonly documents: DocumentChanges;
  readonly rollouts: RolloutOrders;
  readonly log: Log;
}

/** Creates the operator API server of a control instance. */
export const createOperatorServer = ({
  address,
  documents,
  rollouts,
  log,
}: OperatorServerOptions) => {
  const server = createServer();

  const sendUnavailable = (response: ServerResponse, message: string) => {
    response.setHeader('retry-after', unavailableRetrySeconds);
    sendJson(response, 503, { message });
  };

  const redirectToLeader = (response: ServerResponse, { leader }: NotLeader, path: string) => {
    const host = leader === undefined ? undefined : parseAddress(leader)?.host;
    if (host === undefined) {
      sendUnavailable(response, 'no leader that a quorum confirms');
      return;
    }
    // All control instances serve the operator API at the same port.
    response.setHeader('location', `http://${host}:${address.port}${path}`);
    sendJson(response, 307, {});
  };

  type Senders<Outcome extends { readonly outcome: string }> = {
    readonly [Kind in Outcome['outcome']]: (
      response: ServerResponse,
      outcome: Extract<Outcome, { outcome: Kind }>,
      path: string,
    ) => void;
  };

  const senders: Senders<DocumentOutcome> = {
    accepted: (response) => sendJson(response, 200, {}),
    conflict: (response) => sendJson(response, 412, { message: 'another version is in place' }),
    invalid: (response, { message }) => sendJson(response, 400, { message }),
    unknown: (response) => sendJson(response, 504, { message: 'the outcome is unknown' }),
    not_here: redirectToLeader,
  };

  const handlePut = async (request: IncomingMessage, response: ServerResponse, path: string) => {
    const outcome = await documents.commands.submit(await readText(request, maxDocumentBytes));
    log.info('document processed', { outcome: outcome.outcome });
    const send = senders[outcome.outcome] as (
      to: ServerResponse,
      sent: DocumentOutcome,
      at: string,
    ) => void;
    send(response, outcome, path);
  };

  const handleGet = async (response: ServerResponse, path: string) => {
    const result = await documents.queries.read();
    if (result.outcome === 'not_here') {
      redirectToLeader(response, result, path);
      return;
    }
    if (result.outcome === 'none') {
      sendJson(response, 503, { message: 'no configuration was accepted yet' });
      return;
    }
    const body = Buffer.from(result.text);
    response.writeHead(200, { 'content-type': 'application/json', 'content-length': body.length });
    response.end(body);
  };

  const orderSenders: Senders<OrderOutcome> = {
    accepted: (response) => sendJson(response, 200, {}),
    conflict: (response) =>
      sendJson(response, 409, { message: 'another rollout of the service is running' }),
    invalid: (response, { message }) => sendJson(response, 400, { message }),
    no_configuration: (response) => sendUnavailable(response, 'no configuration was accepted yet'),
    unknown: (response) => sendJson(response, 504, { message: 'the outcome is unknown' }),
    not_here: redirectToLeader,
  };

  const handleOrder = async (request: IncomingMessage, response: ServerResponse, path: string) => {
    const order = readOrder(await readText(request, maxOrderBytes));
    const outcome = await rollouts.commands.start(order);
    const send = orderSenders[outcome.outcome] as (
      to: ServerResponse,
      sent: OrderOutcome,
      at: string,
    ) => void;
    send(response, outcome, path);
  };

  const handleRead = async (response: ServerResponse, service: string, path: string) => {
    const result = await rollouts.queries.read(readServiceName(service));
    if (result.outcome === 'not_here') {
      redirectToLeader(response, result, path);
      return;
    }
    if (result.outcome === 'none') {
      sendJson(response, 404, { message: 'the service has no rollout' });
      return;
    }
    sendJson(response, 200, writeRollout(result.rollout));
  };

  const catchErrors = (response: ServerResponse, handled: Promise<void>) => {
    handled.catch((error: unknown) => {
      log.warn('operator request failed', { error: String(error) });
      sendError(response, error);
    });
  };

  const router = polka({ server });
  router.post('/Config.Put', (request, response) =>
    catchErrors(response, handlePut(request, response, request.originalUrl)),
  );
  router.get('/Config.Get', (request, response) =>
    catchErrors(response, handleGet(response, request.originalUrl)),
  );
  router.post('/Rollouts.Start', (request, response) =>
    catchErrors(response, handleOrder(request, response, request.originalUrl)),
  );
  router.get('/Rollouts.Get/:service', (request, response) =>
    catchErrors(response, handleRead(response, request.params.service ?? '', request.originalUrl)),
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
