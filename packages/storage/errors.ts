/** Thrown when a data folder cannot be read or written. */
export class StorageError extends Error {
  override readonly name: string = "StorageError";
}

/** Thrown when a damaged log record is followed by valid ones. */
export class CorruptLogError extends StorageError {
  override readonly name = "CorruptLogError";

  constructor(
    readonly file: string,
    readonly offset: number,
  ) {
    super(
      `${file} is corrupt at byte ${offset}, before its last record; move the data folder away and start the VM as a standby`,
    );
  }
}

/** Thrown when a data folder's identity is missing, invalid or another VM's. */
export class IdentityError extends StorageError {
  override readonly name = "IdentityError";
}

/** Thrown when the data folder lacks a required log file. */
export class MissingLogError extends StorageError {
  override readonly name = "MissingLogError";

  constructor(readonly file: string) {
    super(
      `${file} is missing, and with it acknowledged votes and entries; move the data folder away and start the VM as a standby`,
    );
  }
}
