/**
 * Type declarations for the parts of polka 0.5 that this project uses; the package has none.
 */
declare module 'polka' {
  import type { IncomingMessage, Server, ServerResponse } from 'node:http';

  export interface PolkaRequest extends IncomingMessage {
    path: string;
    originalUrl: string;
    params: Record<string, string>;
    query: Record<string, string | string[] | undefined>;
  }

  export type Next = (error?: unknown) => void;

  export type Handler = (request: PolkaRequest, response: ServerResponse, next: Next) => void;

  export interface Polka {
    readonly server: Server;
    readonly handler: (request: IncomingMessage, response: ServerResponse) => void;
    use(...handlers: Handler[]): Polka;
    get(pattern: string, ...handlers: Handler[]): Polka;
    put(pattern: string, ...handlers: Handler[]): Polka;
    post(pattern: string, ...handlers: Handler[]): Polka;
  }

  export interface PolkaOptions {
    server?: Server;
    onError?: (error: unknown, request: PolkaRequest, response: ServerResponse, next: Next) => void;
    onNoMatch?: (request: PolkaRequest, response: ServerResponse) => void;
  }

  const polka: (options?: PolkaOptions) => Polka;
  export default polka;
}
