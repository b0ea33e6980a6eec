/** Applies change tickets. */
import { isDeepStrictEqual } from 'node:util';
import type { Clock } from '../kernel/clock';
import { RequestError } from '../model/request_error';
import { RESULT_CODES } from '../model/result_code';
import { ticketSchema, type Ticket } from '../model/ticket';
import { TableOutcomeUnknownError, type Row, type TableService } from '../platform/table_service';
import type { ConfigurationService } from './configuration_service';
import type { Change, ConfigurationState } from './change';
import { ticketDifferences, type FieldDifference } from './ticket_difference';
import { planTicket } from './ticket_plan';

/** Number of commit attempts after which a ticket is rejected because other writers keep changing the head. */
const MAX_COMMIT_ATTEMPTS = 8;
const RETRY_DELAY_MS = 50;

/** The result of applying a ticket. */
export interface TicketResult {
  readonly number: number;
  readonly status: 'in_effect' | 'already_accepted' | 'dry_run';
  /** Objects that a higher ticket number has set or removed, as `kind/id`; they were not changed. */
  readonly superseded: readonly string[];
  /** Objects that the ticket sets or removes, as `kind/id`. */
  readonly changed: readonly string[];
  /** With a dry run, the fields that would change. */
  readonly differences?: readonly FieldDifference[];
}

export interface TicketServiceOptions {
  readonly clock: Clock;
  readonly configuration: ConfigurationService;
  readonly table: TableService;
}

/** Applies the tickets of operators. */
export class TicketService {
  constructor(private readonly options: TicketServiceOptions) {}

  /** Returns what a ticket would change. Throws `RequestError` if the ticket is not valid. */
  dryRun(ticket: Ticket): TicketResult {
    const plan = this.plan(this.options.configuration.state(), ticket);
    const differences = ticketDifferences(this.options.configuration.state(), plan.change);
    return { number: ticket.number, status: 'dry_run', ...affectedObjects(plan), differences };
  }

  /**
   * Applies a ticket and resolves once it is in effect on every entry
   * instance. Applying the same ticket again has no further effect. Throws
   * `RequestError` if it is not valid or its number was used with different content.
   */
  async apply(ticket: Ticket): Promise<TicketResult> {
    for (let attempt = 1; attempt <= MAX_COMMIT_ATTEMPTS; attempt += 1) {
      const earlier = await this.find(ticket.number);
      if (earlier) return await this.repeatAccepted(earlier, ticket);
      const result = await this.commit(ticket);
      if (result) return result;
      await this.options.clock.delay(RETRY_DELAY_MS * attempt);
    }
    throw new RequestError(RESULT_CODES.ticketConflict, { outcome: 'not_run', retryAfterS: 1 });
  }

  /** Returns the accepted ticket with that number. Throws `RequestError` if there is none. */
  async get(number: number): Promise<Ticket> {
    const ticket = await this.find(number);
    if (ticket) return ticket;
    throw new RequestError(RESULT_CODES.unknownTicket, { outcome: 'not_run' });
  }

  /** Returns the accepted tickets by ascending number. */
  async list(): Promise<readonly Ticket[]> {
    const rows = await this.options.table.read({ prefixes: ['ticket_number/'] });
    return rows.map(parseTicket).sort((a, b) => a.number - b.number);
  }

  private async commit(ticket: Ticket): Promise<TicketResult | null> {
    const plans: Plan[] = [];
    const build = (state: ConfigurationState): Change => {
      const plan = this.plan(state, ticket);
      plans.push(plan);
      return plan.change;
    };
    const key = ticketKey(ticket.number);
    try {
      const outcome = await this.options.configuration.change(build, {
        conditions: [{ key, version: null }],
        writes: [{ key, value: ticket }],
      });
      const plan = plans.at(-1);
      if (outcome !== 'committed' || plan === undefined) return null;
      return { number: ticket.number, status: 'in_effect', ...affectedObjects(plan) };
    } catch (error) {
      if (!(error instanceof TableOutcomeUnknownError)) throw error;
      throw new RequestError(RESULT_CODES.ticketOutcomeUnknown, {
        outcome: 'may_have_run',
        retryAfterS: 1,
        cause: error,
      });
    }
  }

  private plan(state: ConfigurationState, ticket: Ticket): Plan {
    const plan = planTicket(state, ticket);
    if (plan.kind === 'change') return plan;
    throw new RequestError(RESULT_CODES.invalidTicket, {
      outcome: 'not_run',
      detail: plan.problems.join(' '),
    });
  }

  private async find(number: number): Promise<Ticket | null> {
    const [row] = await this.options.table.read({ keys: [ticketKey(number)] });
    return row ? parseTicket(row) : null;
  }

  private async repeatAccepted(earlier: Ticket, ticket: Ticket): Promise<TicketResult> {
    if (!isDeepStrictEqual(earlier, ticket)) {
      throw new RequestError(RESULT_CODES.ticketNumberReused, { outcome: 'not_run' });
    }
    // The first attempt may have been interrupted before the ticket was in effect.
    await this.options.configuration.untilInEffect();
    return { number: ticket.number, status: 'already_accepted', superseded: [], changed: [] };
  }
}

interface Plan {
  readonly change: Change;
  readonly superseded: readonly string[];
}

function affectedObjects(plan: Plan): Pick<TicketResult, 'superseded' | 'changed'> {
  const changed = plan.change.objects
    .filter(({ kind }) => kind !== 'instanceStates')
    .map(({ kind, objectId }) => `${kind}/${objectId}`);
  return { superseded: plan.superseded, changed };
}

function ticketKey(number: number): string {
  return `ticket_number/${number}`;
}

function parseTicket(row: Row): Ticket {
  return ticketSchema.parse(row.value);
}
