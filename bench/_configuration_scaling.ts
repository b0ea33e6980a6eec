/** Measures how the costs of the configuration grow with the number of instances and teams. */
import { keyIndexOf } from '../admission/key_index';
import { applyChange, applyChanges, loadState } from '../config/change';
import { instanceRows, teamRows } from './_configuration_rows';
import { retainedBytes } from './_heap';
import { medianUs, ScalingBenchmark } from './_scaling_benchmark';

const INSTANCE_COUNTS = [2_000, 5_000, 10_000, 21_000];
const TEAM_COUNTS = [50, 100, 200, 400];

class InstanceMemory extends ScalingBenchmark {
  override readonly name = 'configuration in memory';
  override readonly per = 'instance';
  override readonly unit = 'bytes';
  override readonly sizes = INSTANCE_COUNTS;
  override measure(size: number): number {
    // The values are parsed from JSON, since rows read from the table service are, too.
    const json = JSON.stringify(instanceRows(size));
    return retainedBytes(() => loadState(1, JSON.parse(json) as ReturnType<typeof instanceRows>));
  }
}

class TeamMemory extends ScalingBenchmark {
  override readonly name = 'team with one key in memory';
  override readonly per = 'team';
  override readonly unit = 'bytes';
  override readonly sizes = TEAM_COUNTS;
  override measure(size: number): number {
    const json = JSON.stringify(teamRows(size));
    return retainedBytes(() => loadState(1, JSON.parse(json) as ReturnType<typeof teamRows>));
  }
}

class InstanceTableSize extends ScalingBenchmark {
  override readonly name = 'configuration in the table service';
  override readonly per = 'instance';
  override readonly unit = 'bytes of JSON';
  override readonly sizes = INSTANCE_COUNTS;
  override measure(size: number): number {
    return Buffer.byteLength(JSON.stringify(instanceRows(size)));
  }
}

class LoadTime extends ScalingBenchmark {
  override readonly name = 'load the whole configuration';
  override readonly per = 'instance';
  override readonly unit = 'us';
  override readonly sizes = INSTANCE_COUNTS;
  override measure(size: number): number {
    const json = JSON.stringify(instanceRows(size));
    return medianUs(9, () => {
      loadState(1, JSON.parse(json) as ReturnType<typeof instanceRows>);
    });
  }
}

class ApplyChangeTime extends ScalingBenchmark {
  override readonly name = 'apply one change of an instance state';
  override readonly per = 'instance';
  override readonly unit = 'us';
  override readonly sizes = INSTANCE_COUNTS;
  override measure(size: number): number {
    const state = loadState(1, instanceRows(size));
    const value = state.fleet.instanceStates.get('worker-7');
    const objects = [{ kind: 'instanceStates' as const, objectId: 'worker-7', value }];
    return medianUs(31, () => {
      applyChange(state, { revision: 2, ticketNumber: null, objects });
    });
  }
}

class ApplyChangesTime extends ScalingBenchmark {
  override readonly name = 'apply eight changes of 100 instance states each';
  override readonly per = 'instance';
  override readonly unit = 'us';
  override readonly sizes = INSTANCE_COUNTS;
  override measure(size: number): number {
    const state = loadState(1, instanceRows(size));
    const changes = Array.from({ length: 8 }, (_, change) => ({
      revision: 2 + change,
      ticketNumber: null,
      objects: Array.from({ length: 100 }, (_, index) => {
        const objectId = `worker-${change * 100 + index}`;
        return { kind: 'instanceStates' as const, objectId, value: state.fleet.instanceStates.get(objectId) };
      }),
    }));
    return medianUs(31, () => {
      applyChanges(state, changes);
    });
  }
}

class KeyLookupTime extends ScalingBenchmark {
  override readonly name = 'look up the team of an API key';
  override readonly per = 'team';
  override readonly unit = 'us';
  override readonly sizes = TEAM_COUNTS;
  override measure(size: number): number {
    const { fleet } = loadState(1, teamRows(size));
    const index = keyIndexOf(fleet.keys);
    return medianUs(2_001, () => {
      index.find(`secret-${size - 1}`);
    });
  }
}

export const CONFIGURATION_BENCHMARKS: readonly ScalingBenchmark[] = [
  new InstanceMemory(),
  new TeamMemory(),
  new InstanceTableSize(),
  new LoadTime(),
  new ApplyChangeTime(),
  new ApplyChangesTime(),
  new KeyLookupTime(),
];
