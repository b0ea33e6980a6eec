/** Learns which images raise the tail latency of which serving images on the same worker. */

/** A serving task in a sample of its worker. */
export interface ServingSample {
  /** Tasks of one step share their load and are compared with each other. */
  readonly stepKey: string;
  readonly image: string;
  /** Tail latency as a fraction of the target. */
  readonly pressure: number;
}

/** A task that serves no requests, in a sample of its worker. */
export interface OtherSample {
  readonly image: string;
  /** Processors in use. */
  readonly processors: number;
}

export interface WorkerSample {
  readonly serving: readonly ServingSample[];
  readonly others: readonly OtherSample[];
}

/** What is known about the effect of one image on another. */
export interface InterferencePair {
  readonly disturbing: string;
  readonly disturbed: string;
  /** Rise of the tail latency as a fraction of the target, for each processor in use. */
  readonly risePerProcessor: number;
  /** From 0 to 1. */
  readonly confidence: number;
}

/** A pair that has begun or ceased to count as disturbing. */
export interface PairChange {
  readonly pair: InterferencePair;
  readonly isDisturbing: boolean;
}

/** Largest number of pairs that are kept; others are dropped, those without evidence for the longest time first. */
export const MAX_PAIRS = 64;

/**
 * A pair counts as disturbing from this rise for each processor, weighted by confidence:
 * four processors take a task from 60 % of its target, below which fillers are sped up,
 * to 84 %, next to the 85 % above which they are slowed down.
 */
export const DISTURBING_RISE = 0.06;

/** A pair stops counting as disturbing below this rise; half, so that noise does not alternate the state. */
const HARMLESS_RISE = DISTURBING_RISE / 2;

/** Weight of earlier evidence after a round with new evidence. A change is followed in about five rounds. */
const EVIDENCE_DISCOUNT = 0.7;

/** Time in which the confidence of a pair without new evidence halves, in milliseconds; fillers run for minutes. */
const CONFIDENCE_HALF_LIFE_MS = 60_000;

/** Evidence with which the confidence is one half, in squared processors: two processors on one worker and none on another. */
const HALF_CONFIDENCE_EVIDENCE = 2;

/** Deviations from the mean below this carry no evidence, in squared processors. */
const MIN_EVIDENCE = 0.01;

/** A change of the mean pressure of a step by this between two rounds may be a change of its load. */
const LOAD_CHANGE = 0.1;

/**
 * Rounds that teach nothing from such a change on: workers report at least every 1.5 s, and
 * until all of them have, their tasks seem to differ. Further changes do not extend this, so
 * that a load that always fluctuates does not prevent learning.
 */
const ROUNDS_AFTER_LOAD_CHANGE = 2;

/** Evidence about a pair, as sums over rounds. */
interface PairEvidence {
  readonly disturbing: string;
  readonly disturbed: string;
  /** Sum of squared deviations of the processors from their mean over a step. */
  readonly processors: number;
  /** Sum of the products of the deviations of processors and pressure. */
  readonly product: number;
  /** When evidence was last added, on the monotonic clock. */
  readonly updatedAtMs: number;
  readonly isDisturbing: boolean;
}

/** Load of a step in the latest round. */
interface StepLoad {
  readonly meanPressure: number;
  /** Number of rounds, with the latest one, that still teach nothing about the step. */
  readonly roundsToSkip: number;
}

/** A serving task with the processors that its neighbours use, by image. */
interface Observation {
  readonly pressure: number;
  readonly processorsByImage: ReadonlyMap<string, number>;
}

interface StepObservations {
  readonly image: string;
  readonly observations: readonly Observation[];
}

/**
 * Compares the tasks of each serving step with each other within a round: what all of
 * them have in common is the load of the step and no interference.
 *
 * @example
 * ```ts
 * model.observe(samples, nowMs);
 * model.disturbance('encode:3', 'search:1'); // 0.1: each processor of the former costs a tenth of the target
 * ```
 */
export class InterferenceModel {
  private readonly evidence = new Map<string, PairEvidence>();
  /** Rises of the pairs that count as disturbing, by both images; planning reads them for each worker. */
  private rises: ReadonlyMap<string, ReadonlyMap<string, number>> = new Map();
  private loads: ReadonlyMap<string, StepLoad> = new Map();

  /** Learns from one round of samples. Returns the pairs that began or ceased to count as disturbing. */
  observe(samples: readonly WorkerSample[], nowMs: number): readonly PairChange[] {
    const additions = new Map<string, PairEvidence>();
    const steps = observationsByStep(samples);
    this.loads = new Map(
      [...steps].map(([stepKey, step]) => [stepKey, nextLoad(this.loads.get(stepKey), step)]),
    );
    for (const [stepKey, step] of steps)
      if (this.loads.get(stepKey)?.roundsToSkip === 0) this.compare(step, additions, nowMs);
    for (const [key, added] of additions) {
      const known = this.evidence.get(key);
      const discount = known === undefined ? 0 : EVIDENCE_DISCOUNT;
      this.evidence.delete(key);
      this.evidence.set(key, {
        ...added,
        processors: added.processors + discount * (known?.processors ?? 0),
        product: added.product + discount * (known?.product ?? 0),
        isDisturbing: known?.isDisturbing ?? false,
      });
    }
    // Pairs that decide something are dropped last, so that many harmless images do not displace them.
    for (const isDisturbing of [false, true]) {
      for (const [key, known] of this.evidence) {
        if (this.evidence.size <= MAX_PAIRS) break;
        if (known.isDisturbing === isDisturbing) this.evidence.delete(key);
      }
    }
    const changes = this.updateStates(nowMs);
    this.updateRises();
    return changes;
  }

  /** Rise for each processor of a pair that counts as disturbing, as a fraction of the target; 0 for others. */
  disturbance(disturbing: string, disturbed: string): number {
    return this.rises.get(disturbing)?.get(disturbed) ?? 0;
  }

  hasDisturbingPairs(): boolean {
    return this.rises.size > 0;
  }

  pairs(nowMs: number): readonly InterferencePair[] {
    return [...this.evidence.values()].map((known) => pairOf(known, nowMs));
  }

  /** Adds what an earlier leader has learned. */
  restore(pairs: readonly InterferencePair[], nowMs: number): void {
    for (const { disturbing, disturbed, risePerProcessor, confidence } of pairs.slice(0, MAX_PAIRS)) {
      if (confidence <= 0 || confidence >= 1) continue;
      const processors = (HALF_CONFIDENCE_EVIDENCE * confidence) / (1 - confidence);
      this.evidence.set(pairKey(disturbing, disturbed), {
        disturbing,
        disturbed,
        processors,
        product: processors * risePerProcessor,
        updatedAtMs: nowMs,
        isDisturbing: risePerProcessor * confidence >= DISTURBING_RISE,
      });
    }
    this.updateRises();
  }

  /** Adds the evidence of one step. What other images explain already is subtracted first. */
  private compare(
    { image: disturbed, observations }: StepObservations,
    additions: Map<string, PairEvidence>,
    nowMs: number,
  ): void {
    if (observations.length < 2) return;
    const images = new Set(observations.flatMap(({ processorsByImage }) => [...processorsByImage.keys()]));
    const rises = new Map(
      [...images].map((image) => {
        const known = this.evidence.get(pairKey(image, disturbed));
        return [image, known === undefined ? 0 : riseOf(known)] as const;
      }),
    );
    for (const disturbing of images) {
      const processors = deviations(observations.map((one) => one.processorsByImage.get(disturbing) ?? 0));
      const unexplained = deviations(
        observations.map(({ pressure, processorsByImage }) => {
          let rest = pressure;
          for (const [image, used] of processorsByImage)
            if (image !== disturbing) rest -= used * (rises.get(image) ?? 0);
          return rest;
        }),
      );
      const squares = sum(processors.map((deviation) => deviation ** 2));
      if (squares < MIN_EVIDENCE) continue;
      const product = sum(processors.map((deviation, index) => deviation * (unexplained[index] ?? 0)));
      const key = pairKey(disturbing, disturbed);
      const added = additions.get(key);
      additions.set(key, {
        disturbing,
        disturbed,
        processors: squares + (added?.processors ?? 0),
        product: product + (added?.product ?? 0),
        updatedAtMs: nowMs,
        isDisturbing: false,
      });
    }
  }

  private updateRises(): void {
    const rises = new Map<string, Map<string, number>>();
    for (const known of this.evidence.values()) {
      if (!known.isDisturbing) continue;
      const ofImage = rises.get(known.disturbing) ?? new Map<string, number>();
      rises.set(known.disturbing, ofImage.set(known.disturbed, riseOf(known)));
    }
    this.rises = rises;
  }

  private updateStates(nowMs: number): readonly PairChange[] {
    const changes: PairChange[] = [];
    for (const [key, known] of this.evidence) {
      const pair = pairOf(known, nowMs);
      const isDisturbing =
        pair.risePerProcessor * pair.confidence >= (known.isDisturbing ? HARMLESS_RISE : DISTURBING_RISE);
      if (isDisturbing === known.isDisturbing) continue;
      this.evidence.set(key, { ...known, isDisturbing });
      changes.push({ pair, isDisturbing });
    }
    return changes;
  }
}

function observationsByStep(samples: readonly WorkerSample[]): ReadonlyMap<string, StepObservations> {
  const steps = new Map<string, StepObservations>();
  for (const { serving, others } of samples) {
    if (serving.length === 0) continue;
    const processorsByImage = new Map<string, number>();
    for (const { image, processors } of others)
      processorsByImage.set(image, (processorsByImage.get(image) ?? 0) + processors);
    for (const { stepKey, image, pressure } of serving) {
      const earlier = steps.get(stepKey)?.observations ?? [];
      steps.set(stepKey, { image, observations: [...earlier, { pressure, processorsByImage }] });
    }
  }
  return steps;
}

function nextLoad(latest: StepLoad | undefined, { observations }: StepObservations): StepLoad {
  const meanPressure = sum(observations.map(({ pressure }) => pressure)) / observations.length;
  if (latest === undefined) return { meanPressure, roundsToSkip: 0 };
  if (latest.roundsToSkip > 0) return { meanPressure, roundsToSkip: latest.roundsToSkip - 1 };
  const hasChanged = Math.abs(meanPressure - latest.meanPressure) > LOAD_CHANGE;
  return { meanPressure, roundsToSkip: hasChanged ? ROUNDS_AFTER_LOAD_CHANGE : 0 };
}

function pairKey(disturbing: string, disturbed: string): string {
  return JSON.stringify([disturbing, disturbed]);
}

/** A negative rise is noise: no task makes another one faster. */
function riseOf({ product, processors }: PairEvidence): number {
  return Math.max(0, product / processors);
}

function pairOf(known: PairEvidence, nowMs: number): InterferencePair {
  const { disturbing, disturbed, processors, updatedAtMs } = known;
  const decay = 2 ** (-(nowMs - updatedAtMs) / CONFIDENCE_HALF_LIFE_MS);
  const confidence = (processors / (processors + HALF_CONFIDENCE_EVIDENCE)) * decay;
  return { disturbing, disturbed, risePerProcessor: riseOf(known), confidence };
}

function deviations(values: readonly number[]): readonly number[] {
  const mean = sum(values) / values.length;
  return values.map((value) => value - mean);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
