/** Stores recorded responses: small bodies in the claim row, larger ones in the object store. */
import type { ObjectStore } from '../platform/object_store';
import { MAX_ROW_BODY_BYTES, type ResponseRecord, type RecordedResponse } from './claim_record';
import type { HttpHeaders } from './dispatcher';

export class ResponseStore {
  constructor(private readonly objects: ObjectStore) {}

  /**
   * Stores the body if it is large and returns the record for the claim row. The
   * object name begins with the day, so that the store can expire responses by
   * prefix. Rejects with `PlatformUnavailableError`.
   */
  async store(response: RecordedResponse, attemptId: string, wallMs: number): Promise<ResponseRecord> {
    const head = { status: response.status, headers: copyHeaders(response.headers) };
    if (response.body.byteLength <= MAX_ROW_BODY_BYTES) {
      return { ...head, bodyBase64: response.body.toString('base64') };
    }
    const day = new Date(wallMs).toISOString().slice(0, 10);
    const objectName = `answer/${day}/${attemptId}`;
    await this.objects.put(objectName, response.body);
    return { ...head, objectName };
  }

  /** Returns the response, `null` if its object no longer exists. Rejects with `PlatformUnavailableError`. */
  async load(record: ResponseRecord): Promise<RecordedResponse | null> {
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
