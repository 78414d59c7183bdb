/**
 * The purposes of calls between VMs, by which they are counted.
 */

/** Why a VM calls another one. */
export const PeerCallPurpose = {
  /** A VM sends its report to its relay, which answers with the changes of the store and the demands of the fleet. */
  Relay: 'relay',
  /** Relays exchange their reports. */
  Reports: 'reports',
  /** A relay sends the demands for models to the controller. */
  ModelDemands: 'modelDemands',
  /** A VM passes on what it has just learned of backend servers. */
  Evidence: 'evidence',
  /** A VM requests a later configuration, or later servers. */
  Fetch: 'fetch',
  Loan: 'loan',
  Adapter: 'adapter',
} as const;
export type PeerCallPurpose = (typeof PeerCallPurpose)[keyof typeof PeerCallPurpose];
