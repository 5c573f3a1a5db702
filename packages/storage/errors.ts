/** A data folder that cannot be read or written. */
export class StorageError extends Error {
  override readonly name: string = "StorageError";
}

/** Stored bytes that fail their checksum with valid records after them. */
export class CorruptLogError extends StorageError {
  override readonly name = "CorruptLogError";

  constructor(
    readonly file: string,
    readonly offset: number,
  ) {
    super(
      `${file} is corrupt at byte ${offset}, before its last record; move the data folder away and start the VM as a spare`,
    );
  }
}

/** A data folder that belongs to another VM. */
export class IdentityError extends StorageError {
  override readonly name = "IdentityError";
}

/** A log file that the data folder must hold but does not. */
export class MissingLogError extends StorageError {
  override readonly name = "MissingLogError";

  constructor(readonly file: string) {
    super(
      `${file} is missing, and with it votes and entries that were promised; move the data folder away and start the VM as a spare`,
    );
  }
}
