/** A map of limited size that evicts the least recently set value. */
export class RecentMap<Value> {
  readonly #maximumSize: number;
  readonly #values = new Map<string, Value>();

  constructor(options: { readonly maximumSize: number }) {
    this.#maximumSize = options.maximumSize;
  }

  /** Returns the value of a key, if it has not been evicted. */
  get(key: string): Value | undefined {
    return this.#values.get(key);
  }

  /** Sets a value and makes it the most recent one. */
  set(key: string, value: Value): void {
    this.#values.delete(key);
    this.#values.set(key, value);
    if (this.#values.size <= this.#maximumSize) return;
    const oldest = this.#values.keys().next().value;
    if (oldest !== undefined) this.#values.delete(oldest);
  }

  delete(key: string): void {
    this.#values.delete(key);
  }
}
