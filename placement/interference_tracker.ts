/** Joins the model of interference with the leader: samples of workers, costs for the planner, log lines. */
import { InterferenceModel, type WorkerSample } from '../interference/interference_model';
import { PassInterference, type WorkerOccupants } from '../interference/pass_interference';
import type { Clock } from '../kernel/clock';
import type { InterferenceCost } from '../scheduling/interference_cost';
import type { RowStore } from '../store/row_store';
import type { Counters } from '../telemetry/counters';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import type { Logger } from '../telemetry/logger';
import type { FencedWriter } from './fenced_writer';
import { InterferenceMemory } from './interference_memory';
import type { PlacementState } from './placement_state';
import { observedRuns } from './straggler_detection';
import type { WorkerFleet } from './worker_fleet';
import type { WorkerSession } from './worker_session';

/** Interval of the samples, in milliseconds. Reports describe half a second; two of them differ. */
const SAMPLE_INTERVAL_MS = 1_000;

export interface InterferenceTrackerOptions {
  readonly store: RowStore;
  readonly clock: Clock;
  readonly writer: FencedWriter;
  readonly state: PlacementState;
  readonly fleet: WorkerFleet;
  readonly counters: Counters;
  readonly logger: Logger;
  readonly avoidsInterference: boolean;
}

export class InterferenceTracker {
  /** What is known about pairs of images. It stays empty while the avoidance is off. */
  readonly model = new InterferenceModel();
  private readonly memory: InterferenceMemory;
  private sampledAtMs = -Infinity;
  private poolsWithFillers: ReadonlySet<string> = new Set();

  constructor(private readonly options: InterferenceTrackerOptions) {
    this.memory = new InterferenceMemory({ ...options, model: this.model });
  }

  /** Throws the errors of {@link RowStore.read}. */
  async load(): Promise<void> {
    if (this.options.avoidsInterference) await this.memory.load();
  }

  /** Learns from the latest reports of the workers, at most once in {@link SAMPLE_INTERVAL_MS}. */
  tick(): void {
    const { avoidsInterference, clock, fleet, state, counters, logger } = this.options;
    const nowMs = clock.monotonicMs();
    if (!avoidsInterference || nowMs - this.sampledAtMs < SAMPLE_INTERVAL_MS) return;
    this.sampledAtMs = nowMs;
    const poolIds = new Set<string>();
    for (const { worker, entry } of fleet.all())
      if (state.fillerCountOn(worker.workerId) > 0) poolIds.add(entry.poolId);
    this.poolsWithFillers = poolIds;
    const samples = [...poolIds].flatMap((poolId) =>
      fleet.inPool(poolId).map((session) => sampleOf(session, state)),
    );
    for (const { pair, isDisturbing } of this.model.observe(samples, nowMs)) {
      counters.increment('interference.pair', isDisturbing ? 'disturbing' : 'harmless');
      const { disturbing, disturbed, risePerProcessor, confidence } = pair;
      logger.info(isDisturbing ? LOG_EVENTS.pairDisturbing : LOG_EVENTS.pairHarmless, {
        disturbing: disturbing.slice(0, MAX_LOGGED_LENGTH),
        disturbed: disturbed.slice(0, MAX_LOGGED_LENGTH),
        risePerProcessor,
        confidence,
        workers: samples.length,
      });
    }
    this.memory.update();
  }

  /** The cost of interference in a planning pass; `null` where there is none. */
  costFor(poolId: string, steps: readonly { readonly isFiller: boolean }[]): InterferenceCost | null {
    const { fleet, state } = this.options;
    if (!this.model.hasDisturbingPairs()) return null;
    if (!this.poolsWithFillers.has(poolId) && !steps.some(({ isFiller }) => isFiller)) return null;
    const occupants = fleet
      .inPool(poolId)
      .map((session) => [session.worker.workerId, occupantsOf(session, state)] as const);
    return new PassInterference(this.model, new Map(occupants));
  }
}

/** Longest image name in a log line, in characters. */
const MAX_LOGGED_LENGTH = 100;

function sampleOf(session: WorkerSession, state: PlacementState): WorkerSample {
  const serving: WorkerSample['serving'][number][] = [];
  const others: WorkerSample['others'][number][] = [];
  for (const [{ record, task }, { phase, load, progressPercent }] of observedRuns(session, state)) {
    if (phase !== 'running' || load === null) continue;
    const { image, targetMs } = record.step(task.step);
    if (targetMs === null) others.push({ image, processors: load });
    // A task that is not ready to serve yet has no tail latency that could be compared.
    else if (progressPercent >= 100)
      serving.push({ stepKey: `${task.jobId}.${task.step}`, image, pressure: load / targetMs });
  }
  return { serving, others };
}

/** Recorded runs count from the start on, before the worker reports them. */
function occupantsOf(session: WorkerSession, state: PlacementState): WorkerOccupants {
  const serving: WorkerOccupants['serving'][number][] = [];
  const fillers: WorkerOccupants['fillers'][number][] = [];
  for (const { record, task, key } of state.runsOn(session.worker.workerId)) {
    const { image, isFiller, targetMs, demand } = record.step(task.step);
    if (isFiller) fillers.push({ image, processors: demand.processors });
    else if (targetMs !== null)
      serving.push({ image, pressure: (session.findRunByKey(key)?.load ?? 0) / targetMs });
  }
  return { serving, fillers };
}
