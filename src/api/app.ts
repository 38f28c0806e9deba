/** The HTTP side of users, workers and health checks. */
import Koa from 'koa';
import type { Logger } from 'pino';
import { readBody } from '../net/body.js';
import { CONTENT_TYPE, MAX_BODY, encode } from '../wire/index.js';
import { METHOD_NOT_ALLOWED, TRY_AGAIN, type Reply } from './reply.js';
import type { UserRequests } from './user-requests.js';
import type { WorkerHeartbeats } from './worker-heartbeats.js';

/** What answers the requests of each kind. */
export interface RequestHandlers {
  readonly userRequests: Pick<UserRequests, 'handle'>;
  readonly workerHeartbeats: Pick<WorkerHeartbeats, 'handle'>;
  health(): Reply;
}

export function createApp(endpoints: RequestHandlers, log: Logger): Koa {
  const app = new Koa();
  app.on('error', (e: Error) => log.debug({ err: e.message }, 'connection error'));
  app.use(async (ctx) => {
    const reply = await answer(endpoints, ctx, log);
    ctx.status = reply.status;
    if (reply.retryAfter !== undefined) ctx.set('Retry-After', String(reply.retryAfter));
    if (reply.close) ctx.set('Connection', 'close');
    ctx.type = CONTENT_TYPE;
    ctx.body = Buffer.isBuffer(reply.body) ? reply.body : encode(reply.body ?? {});
  });
  return app;
}

async function answer(endpoints: RequestHandlers, ctx: Koa.Context, log: Logger): Promise<Reply> {
  try {
    if (ctx.path === '/up') return ctx.method === 'GET' ? endpoints.health() : METHOD_NOT_ALLOWED;
    const body = await readBody(ctx.req, MAX_BODY);
    if (!body) return { status: 400, body: { error: 'body over 64 KiB' } };
    if (ctx.path === '/agent/beat') {
      return ctx.method === 'POST'
        ? await endpoints.workerHeartbeats.handle(body)
        : METHOD_NOT_ALLOWED;
    }
    return await endpoints.userRequests.handle(ctx.method, ctx.path, body);
  } catch (e) {
    log.error({ err: e }, 'request failed');
    return TRY_AGAIN;
  }
}
