/** Keeps recorded answers: small bodies in the row of the claim, larger ones in the object store. */
import type { ObjectStore } from '../platform/object_store';
import { MAX_ROW_BODY_BYTES, type AnswerRecord, type RecordedAnswer } from './claim_record';
import type { HttpHeaders } from './dispatcher';

export class AnswerArchive {
  constructor(private readonly objects: ObjectStore) {}

  /**
   * Returns what the row keeps of the answer. The object's name begins with
   * the day, so that the store can expire answers by prefix. Rejects with
   * `PlatformUnavailableError`.
   */
  async store(answer: RecordedAnswer, attemptId: string, wallMs: number): Promise<AnswerRecord> {
    const head = { status: answer.status, headers: copyHeaders(answer.headers) };
    if (answer.body.byteLength <= MAX_ROW_BODY_BYTES) {
      return { ...head, bodyBase64: answer.body.toString('base64') };
    }
    const day = new Date(wallMs).toISOString().slice(0, 10);
    const objectName = `answer/${day}/${attemptId}`;
    await this.objects.put(objectName, answer.body);
    return { ...head, objectName };
  }

  /** The whole answer, `null` if its object is gone. Rejects with `PlatformUnavailableError`. */
  async load(record: AnswerRecord): Promise<RecordedAnswer | null> {
    const { status, headers } = record;
    if ('bodyBase64' in record) return { status, headers, body: Buffer.from(record.bodyBase64, 'base64') };
    const body = await this.objects.get(record.objectName);
    return body === null ? null : { status, headers, body };
  }
}

function copyHeaders(headers: HttpHeaders): Record<string, string | string[]> {
  return Object.fromEntries(
    Object.entries(headers).map(([name, value]) => [name, typeof value === 'string' ? value : [...value]]),
  );
}
