/** Time that a message may take, in milliseconds. It is added to the ages in a message, since information that passes through many instances would otherwise never age. */
export const transitAllowanceMs = 100;
