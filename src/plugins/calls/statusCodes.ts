/**
 * Range of the status codes of HTTP. A response with any other code is a failure of its sender: an
 * upstream in trouble may send 000, and a caller could not tell what such a response means.
 */

const minStatus = 100;
const maxStatus = 599;

/** Lowest status of a final response; those below are informational. */
export const minFinalStatus = 200;

export const isHttpStatus = (status: number): boolean =>
  Number.isInteger(status) && status >= minStatus && status <= maxStatus;

export const isFinalStatus = (status: number): boolean =>
  isHttpStatus(status) && status >= minFinalStatus;
