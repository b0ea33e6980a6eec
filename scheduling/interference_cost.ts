/** Cost of placing a task beside tasks that it disturbs, or that disturb it. */
import type { StepDefinition } from './job_definition';

/** Knows the tasks on the workers of a pool during one planning pass. */
export abstract class InterferenceCost {
  /** Share of a serving task's target that is at risk on the worker, from 0 to 1. */
  abstract cost(workerId: string, definition: StepDefinition): number;

  /** A task of the step is placed on the worker, or is taken back. */
  abstract record(workerId: string, definition: StepDefinition, sign: 1 | -1): void;
}
