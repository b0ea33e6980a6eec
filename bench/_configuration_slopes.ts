/** Growth of the configuration's costs. */
import { keyIndexOf } from '../admission/key_index';
import { applyChange, applyChanges, loadState } from '../config/change';
import { instanceRows, teamRows } from './_fleet';
import { retainedBytes } from './_heap';
import { medianUs, Slope } from './_slope';

const INSTANCE_COUNTS = [2_000, 5_000, 10_000, 21_000];
const TEAM_COUNTS = [50, 100, 200, 400];

class InstanceMemory extends Slope {
  override readonly name = 'configuration in memory';
  override readonly per = 'instance';
  override readonly unit = 'bytes';
  override readonly sizes = INSTANCE_COUNTS;
  override measure(size: number): number {
    // Values come from parsed JSON, as they do when they are read from the table service.
    const text = JSON.stringify(instanceRows(size));
    return retainedBytes(() => loadState(1, JSON.parse(text) as ReturnType<typeof instanceRows>));
  }
}

class TeamMemory extends Slope {
  override readonly name = 'team with one key in memory';
  override readonly per = 'team';
  override readonly unit = 'bytes';
  override readonly sizes = TEAM_COUNTS;
  override measure(size: number): number {
    const text = JSON.stringify(teamRows(size));
    return retainedBytes(() => loadState(1, JSON.parse(text) as ReturnType<typeof teamRows>));
  }
}

class InstanceTableBytes extends Slope {
  override readonly name = 'configuration in the table service';
  override readonly per = 'instance';
  override readonly unit = 'bytes of JSON';
  override readonly sizes = INSTANCE_COUNTS;
  override measure(size: number): number {
    return Buffer.byteLength(JSON.stringify(instanceRows(size)));
  }
}

class LoadTime extends Slope {
  override readonly name = 'load the whole configuration';
  override readonly per = 'instance';
  override readonly unit = 'us';
  override readonly sizes = INSTANCE_COUNTS;
  override measure(size: number): number {
    const text = JSON.stringify(instanceRows(size));
    return medianUs(9, () => {
      loadState(1, JSON.parse(text) as ReturnType<typeof instanceRows>);
    });
  }
}

class ApplyTime extends Slope {
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

class ApplyBatchTime extends Slope {
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

class AuthorizeTime extends Slope {
  override readonly name = 'find the team of a key';
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

export const CONFIGURATION_SLOPES: readonly Slope[] = [
  new InstanceMemory(),
  new TeamMemory(),
  new InstanceTableBytes(),
  new LoadTime(),
  new ApplyTime(),
  new ApplyBatchTime(),
  new AuthorizeTime(),
];
