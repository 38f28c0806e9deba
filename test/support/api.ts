/** The parts that answer requests, around a term that a test controls. */
import { pino } from 'pino';
import { LeaderView } from '../../src/api/leader-view.js';
import { UserRequestHandler } from '../../src/api/user-request-handler.js';
import { WorkerHeartbeatHandler } from '../../src/api/worker-heartbeat-handler.js';
import { MachineCatalog } from '../../src/cloud/machine-catalog.js';
import { parseSettings } from '../../src/config/settings.js';
import { AdmissionControl } from '../../src/ledger/admission-control.js';
import type { JobRecords } from '../../src/ledger/job-records.js';
import { RecordLimits } from '../../src/ledger/record-limits.js';
import type { JobLookupResult } from '../../src/leader/job-requests.js';
import type { Term } from '../../src/leader/term.js';
import type { Peer } from '../../src/peer/peer.js';
import { HeartbeatRelay } from '../../src/relay/heartbeat-relay.js';
import { Epoch, JobId, NodeId } from '../../src/units/index.js';
import { ProcessClock, VirtualTime } from '../standin/clock.js';
import { machineTypes } from '../standin/machine-types.js';
import { settingsFile } from './settings.js';

/** The job that tests ask about. */
export const JOB = JobId('run-000001');
/** The epoch under which the node leads. */
export const EPOCH = Epoch(7);

/**
 * What answers HTTP on a node that leads until `loseAuthority` is called; its term answers every request
 * about a job with `found`, when `answer` is called.
 */
export function leadingNode(found: JobLookupResult) {
  const settings = parseSettings(settingsFile(0));
  const time = new VirtualTime();
  const clock = new ProcessClock(time, 0, 0);
  const jobRecords = {} as JobRecords;
  let epoch: Epoch | undefined = EPOCH;
  let answer = (): void => undefined;
  const answerLater = (): Promise<JobLookupResult> =>
    new Promise((resolve) => (answer = () => resolve(found)));
  const term = {
    epoch,
    isClosed: false,
    isReady: true,
    isRedirectingWorkers: false,
    findJob: answerLater,
    cancelJob: answerLater,
    submitJob: answerLater,
    handleHeartbeat: () => ({ fencingToken: EPOCH, commands: [] }),
    handleRelayedHeartbeat: () => ({
      response: { fencingToken: EPOCH, commands: [] },
      baseline: 1,
    }),
  };
  const peers = new Map<NodeId, Peer>();
  const catalog = new MachineCatalog();
  catalog.update(machineTypes);
  const leadership = new LeaderView(
    { authority: () => epoch, leader: () => NodeId('node-0') },
    peers,
  );
  leadership.term = term as unknown as Term;
  const isIsolated = (): boolean => false;
  const userRequests = new UserRequestHandler({
    admission: new AdmissionControl(catalog, settings.teams, new RecordLimits(settings.state)),
    leadership,
    jobRecords,
    clock,
    log: pino({ level: 'silent' }),
    isIsolated,
  });
  const workerHeartbeats = new WorkerHeartbeatHandler({
    controllerId: settings.node,
    leadership,
    relay: new HeartbeatRelay({
      controllerId: settings.node,
      clock,
      log: pino({ level: 'silent' }),
      leaderPeer: () => leadership.leaderPeer(),
    }),
    clock,
    isIsolated,
  });
  const loseAuthority = (): void => {
    epoch = undefined;
  };
  return {
    userRequests,
    workerHeartbeats,
    term,
    peers,
    jobRecords,
    time,
    clock,
    loseAuthority,
    answer: () => answer(),
  };
}
