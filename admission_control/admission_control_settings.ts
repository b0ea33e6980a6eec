/** Settings of the admission of jobs while capacity is short. */
import { z } from 'zod';

export const ADMISSION_CONTROL_SETTINGS = {
  'admission-control': {
    schema: z.enum(['on', 'off']),
    description: 'whether jobs that cannot end in useful time are rejected (on, off)',
    defaultValue: 'on',
  },
  'admission-wait-percent': {
    // Below 100, jobs would be rejected that could still be served in useful time.
    schema: z.coerce.number().int().min(100).max(1_000),
    description: 'percentage of its useful time for which a rejected job would have to wait',
    // The groups of the view make the estimate too short by up to a fifth; the rest is for uneven run times.
    defaultValue: '110',
  },
  'admission-max-retry-after-s': {
    schema: z.coerce.number().int().min(1).max(3_600),
    description: 'longest time after which a rejected caller is asked to return, in seconds',
    // A burst lasts some seconds; callers that come later than this have usually given up.
    defaultValue: '30',
  },
} as const;
