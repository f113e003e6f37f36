/**
 * Check of the reports that a node receives: the settings name the service, the address and the data
 * centre of the endpoint on this machine. A report that differs is of another writer, or of an endpoint
 * that has taken the place of an earlier one before the new settings were read.
 */
import type { UpstreamReport } from '../plugins/calls/upstreamAnnouncement.js';
import { parseAddress } from '../utils/address.js';
import { Failure } from '../utils/failure.js';
import { sanitizeName } from './documents.js';
import type { PlatformSettings } from './settings.js';
import type { SettingsWatch } from './settingsWatch.js';

/** True if the settings name an address, and another one. */
const isOtherAddress = (address: string, endpointAddress: string): boolean => {
  const expected = parseAddress(endpointAddress);
  const found = parseAddress(address);
  return expected !== undefined && (found?.host !== expected.host || found.port !== expected.port);
};

/** Returns a description of the first field that differs from the settings. */
const findDifference = (
  { service, address, dataCentre }: UpstreamReport,
  settings: PlatformSettings,
): string | undefined => {
  if (settings.service !== '' && service !== sanitizeName(settings.service)) {
    return `service ${service}, where the settings name ${settings.service}`;
  }
  if (isOtherAddress(address, settings.endpointAddress)) {
    return `address ${address}, where the settings name ${settings.endpointAddress}`;
  }
  if (dataCentre !== undefined && dataCentre !== settings.dataCentre) {
    return `data centre ${dataCentre}, where the settings name ${settings.dataCentre}`;
  }
  return undefined;
};

/**
 * Creates a check that throws `foreign_report` if a report differs from the settings. They are read
 * again before that, since the file changes without a signal.
 */
export const createReportCheck =
  ({ current, reload }: SettingsWatch) =>
  (report: UpstreamReport) => {
    if (findDifference(report, current()) === undefined) {
      return;
    }
    reload();
    const difference = findDifference(report, current());
    if (difference !== undefined) {
      throw new Failure('foreign_report', difference);
    }
  };
