/**
 * Requests for membership changes, and the exit codes of their outcomes.
 */
import type { ChangeMembersResponse } from '../../gen/auburnsill/v1/operator_pb.js';
import { exitCodes } from '../exitCodes.js';
import type { OperatorClient } from '../operatorClient.js';

export interface MembershipChange {
  readonly action: 'add' | 'remove';
  readonly member: string;
  readonly incarnation?: string;
  readonly address?: string;
  readonly dataCentre?: string;
  readonly region?: string;
}

/** Sends a membership change. It is not retried, since it has no change id. */
export const sendMembershipChange = (
  client: OperatorClient,
  change: MembershipChange,
): Promise<ChangeMembersResponse> =>
  client.request(({ commands }) => commands.changeMembers(change), { retryable: false });

const exitCodeByOutcome: Readonly<Record<string, number>> = {
  accepted: exitCodes.ok,
  ok: exitCodes.ok,
  unchanged: exitCodes.ok,
  unknown: exitCodes.unknown,
};

export const membershipExitCode = ({ outcome }: ChangeMembersResponse): number =>
  exitCodeByOutcome[outcome] ?? exitCodes.refused;
