import Koa from 'koa';
import type { Logger } from 'pino';
import { gather } from '../net/http.js';
import { CONTENT_TYPE, MAX_BODY, encode } from '../wire/index.js';
import type { Reply, Service } from './service.js';

/** The HTTP side of users, workers and health checks. */
export function createApp(service: Service, log: Logger): Koa {
  const app = new Koa();
  app.on('error', (e: Error) => log.debug({ err: e.message }, 'connection error'));
  app.use(async (ctx) => {
    const reply = await answer(service, ctx, log);
    ctx.status = reply.status;
    if (reply.retryAfter !== undefined) ctx.set('Retry-After', String(reply.retryAfter));
    if (reply.close) ctx.set('Connection', 'close');
    ctx.type = CONTENT_TYPE;
    ctx.body = encode(reply.body ?? {});
  });
  return app;
}

async function answer(service: Service, ctx: Koa.Context, log: Logger): Promise<Reply> {
  try {
    if (ctx.path === '/up') return ctx.method === 'GET' ? service.up() : { status: 405 };
    const body = await gather(ctx.req, MAX_BODY);
    if (!body) return { status: 400, body: { error: 'body over 64 KiB' } };
    if (ctx.path === '/agent/beat') {
      return ctx.method === 'POST' ? await service.beat(body) : { status: 405 };
    }
    return await service.user(ctx.method, ctx.path, body);
  } catch (e) {
    log.error({ err: e }, 'request failed');
    return { status: 503, retryAfter: 1 };
  }
}
