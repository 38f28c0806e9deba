import { pino } from 'pino';
import { Leadership } from '../../src/api/leadership.js';
import { UserRequests } from '../../src/api/user-requests.js';
import { WorkerReports } from '../../src/api/worker-reports.js';
import { Catalog } from '../../src/cloud/catalog.js';
import { parseSettings } from '../../src/config/settings.js';
import { Admission } from '../../src/ledger/admission.js';
import type { StoreFront } from '../../src/ledger/front.js';
import { RecordLimits } from '../../src/ledger/record-limits.js';
import type { Answer, Term } from '../../src/leader/term.js';
import type { Peer } from '../../src/peer/channel.js';
import { ReportRelay } from '../../src/relay/report-relay.js';
import { Epoch, JobId, NodeId } from '../../src/units/index.js';
import { ProcessClock, VirtualTime } from '../standin/clock.js';
import { flavors } from '../standin/world.js';
import { settingsFile } from './settings.js';

export const JOB = JobId('run-000001');
export const EPOCH = Epoch(7);

/** What answers HTTP on a node that leads until `lose` is called; its term answers when `answer` is. */
export function leadingNode(found: Answer) {
  const settings = parseSettings(settingsFile(0));
  const time = new VirtualTime();
  const clock = new ProcessClock(time, 0, 0);
  const front = {} as StoreFront;
  let epoch: Epoch | undefined = EPOCH;
  let answer = (): void => undefined;
  const answerLater = (): Promise<Answer> => new Promise((r) => (answer = () => r(found)));
  const term = {
    epoch,
    isClosed: false,
    isReady: true,
    redirectsWorkers: false,
    find: answerLater,
    abort: answerLater,
    submit: answerLater,
    takeReport: () => ({ fencingToken: EPOCH, commands: [] }),
    takeRelayedReport: () => ({ reply: { fencingToken: EPOCH, commands: [] }, baseline: 1 }),
  };
  const peers = new Map<NodeId, Peer>();
  const catalog = new Catalog();
  catalog.update(flavors);
  const leadership = new Leadership(
    { authority: () => epoch, leader: () => NodeId('node-0') },
    peers,
  );
  leadership.term = term as unknown as Term;
  const connected = (): boolean => false;
  const users = new UserRequests(
    new Admission(catalog, settings.teams, new RecordLimits(settings.state)),
    leadership,
    front,
    clock,
    pino({ level: 'silent' }),
    connected,
  );
  const relay = new ReportRelay(settings.node, clock, () => leadership.leaderPeer());
  const workers = new WorkerReports(settings, leadership, relay, clock, connected);
  const lose = (): void => {
    epoch = undefined;
  };
  return { users, workers, term, peers, front, time, clock, lose, answer: () => answer() };
}
