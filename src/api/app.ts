/** The HTTP application that serves users, workers and health checks. */
import Koa from 'koa';
import type { Logger } from 'pino';
import { readBody } from '../net/read-body.js';
import { durationBetween, type Clock } from '../units/index.js';
import { TurnBudget } from '../units/turn-budget.js';
import { CONTENT_TYPE, MAX_BODY_BYTES, encode } from '../wire/index.js';
import {
  BODY_TOO_LONG,
  CLIENT_LEFT,
  METHOD_NOT_ALLOWED,
  serviceUnavailable,
  type ApiResponse,
} from './api-response.js';
import type { ApiConnections, ClientKind } from './api-connections.js';
import type { RequestKind, RequestMetrics } from './request-metrics.js';
import type { UserRequestHandler } from './user-request-handler.js';
import type { WorkerHeartbeatHandler } from './worker-heartbeat-handler.js';

const HEALTH_PATH = '/up';
/** Only workers request this path. */
const HEARTBEAT_PATH = '/agent/beat';
const CANCEL_PATH_END = '/abort';

/** The handler for each kind of request. */
export interface RequestHandlers {
  readonly userRequestHandler: Pick<UserRequestHandler, 'handle'>;
  readonly workerHeartbeatHandler: Pick<WorkerHeartbeatHandler, 'handle'>;
  readonly requestMetrics: Pick<RequestMetrics, 'record'>;
  readonly clock: Pick<Clock, 'steady' | 'nextTurn'>;
  health(): ApiResponse;
}

/** Creates the application that reads each request, passes it to its handler and encodes the response. */
export function createApp(
  handlers: RequestHandlers,
  connections: ApiConnections,
  log: Logger,
): Koa {
  const app = new Koa();
  const turnBudget = new TurnBudget(handlers.clock, () => connections.acceptedCount);
  app.on('error', (error: Error) =>
    log.debug({ err: error.message }, 'HTTP connection to a client failed'),
  );
  app.use(async (ctx) => {
    const startedAt = handlers.clock.steady();
    const response = await handleOnConnection({ handlers, connections, turnBudget, log }, ctx);
    const duration = durationBetween(startedAt, handlers.clock.steady());
    handlers.requestMetrics.record(requestKind(ctx.method, ctx.path), response, duration);
    ctx.status = response.status;
    if (response.retryAfter !== undefined) ctx.set('Retry-After', String(response.retryAfter));
    if (response.shouldCloseConnection) ctx.set('Connection', 'close');
    ctx.type = CONTENT_TYPE;
    ctx.body = Buffer.isBuffer(response.body) ? response.body : encode(response.body ?? {});
  });
  return app;
}

function clientKind(path: string): ClientKind {
  if (path === HEALTH_PATH) return 'healthCheck';
  return path === HEARTBEAT_PATH ? 'worker' : 'user';
}

function requestKind(method: string, path: string): RequestKind {
  if (path === HEALTH_PATH) return 'health';
  if (path === HEARTBEAT_PATH) return 'heartbeat';
  if (method === 'GET') return 'read';
  return path.endsWith(CANCEL_PATH_END) ? 'cancel' : 'submit';
}

/** What handling a request depends on. */
interface RequestContext {
  readonly handlers: RequestHandlers;
  readonly connections: ApiConnections;
  readonly turnBudget: TurnBudget;
  readonly log: Logger;
}

/** Handles a request on a connection that may be needed for other clients. */
async function handleOnConnection(context: RequestContext, ctx: Koa.Context): Promise<ApiResponse> {
  const { connections } = context;
  const { socket } = ctx.req;
  const isAdmitted = connections.beginRequest(socket, clientKind(ctx.path));
  ctx.res.once('close', () => connections.endRequest(socket));
  if (!isAdmitted) return { ...serviceUnavailable('overloaded'), shouldCloseConnection: true };
  const response = await handleRequest(context, ctx);
  return connections.isCrowded ? { ...response, shouldCloseConnection: true } : response;
}

async function handleRequest(
  { handlers, turnBudget, log }: RequestContext,
  ctx: Koa.Context,
): Promise<ApiResponse> {
  try {
    if (ctx.path === HEALTH_PATH) {
      return ctx.method === 'GET' ? handlers.health() : METHOD_NOT_ALLOWED;
    }
    const body = await readBody(ctx.req, MAX_BODY_BYTES);
    if (!body) return BODY_TOO_LONG;
    await turnBudget.begin();
    if (hasClientLeft(ctx)) return CLIENT_LEFT;
    if (ctx.path === HEARTBEAT_PATH) {
      return ctx.method === 'POST'
        ? await handlers.workerHeartbeatHandler.handle(body)
        : METHOD_NOT_ALLOWED;
    }
    return await handlers.userRequestHandler.handle(ctx.method, ctx.path, body);
  } catch (error) {
    log.error({ err: error }, 'handling an HTTP request failed; the client is told to retry');
    return serviceUnavailable('internalError');
  }
}

/** Whether the client has closed the connection, or its half of it: it no longer waits for a response. */
const hasClientLeft = ({ req: { socket } }: Koa.Context): boolean =>
  socket.destroyed || socket.readableEnded;
