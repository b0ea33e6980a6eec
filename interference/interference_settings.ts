/** Settings of the avoidance of interference between tasks. */
import { z } from 'zod';

export const INTERFERENCE_SETTING_DEFINITIONS = {
  'interference-avoidance': {
    schema: z.enum(['on', 'off']),
    description: 'whether placement separates fillers from the serving tasks that they slow down',
    defaultValue: 'on',
  },
} as const;
