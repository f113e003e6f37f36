/** The two deployments of docs/design/hard-load.md, as loads of `wholeCallLoad.ts`. */
import type { LoadClass, WholeCallLoad } from './wholeCallLoad.js';

type Deployment = Pick<WholeCallLoad, 'slots' | 'endpoints' | 'classes' | 'slowShare'>;

/** Importance by rank, as in the platform's documents. */
const importanceOf = (rank: number): number => 80 / 2 ** rank;

const scale = (classes: readonly LoadClass[], factor: number): LoadClass[] =>
  classes.map((loadClass) => ({ ...loadClass, perSecond: loadClass.perSecond * factor }));

/** Kalgoorlie-Swan with a multiple of the usual load. */
export const kalgoorlieSwan = (factor: number): Deployment => ({
  slots: 8,
  slowShare: 0.15,
  endpoints: { cardbal: 37, purse: 22, tariffdist: 6, concess: 20 },
  classes: scale(
    [
      {
        name: 'balance-check',
        service: 'cardbal',
        perSecond: 681,
        workMs: 181,
        targetMs: 848,
        deadlineMs: 5_299,
        importance: importanceOf(2),
        nested: {
          name: 'ledger-peek',
          service: 'purse',
          count: 2,
          isParallel: true,
          importance: importanceOf(2),
        },
      },
      {
        name: 'fare-deduct',
        service: 'purse',
        perSecond: 220,
        workMs: 238,
        targetMs: 1_053,
        deadlineMs: 6_316,
        importance: importanceOf(1),
        nested: {
          name: 'bundle-index',
          service: 'tariffdist',
          count: 2,
          isParallel: false,
          importance: importanceOf(1),
        },
      },
      {
        name: 'tariff-bundle',
        service: 'tariffdist',
        perSecond: 87.9,
        workMs: 143,
        targetMs: 1_139,
        deadlineMs: 6_833,
        importance: importanceOf(2),
        nested: {
          name: 'eligibility-sync',
          service: 'concess',
          count: 1,
          isParallel: true,
          importance: importanceOf(2),
        },
      },
      {
        name: 'concession-lookup',
        service: 'concess',
        perSecond: 110,
        workMs: 714,
        targetMs: 2_548,
        deadlineMs: 15_287,
        importance: importanceOf(2),
      },
    ],
    factor,
  ),
});

/** De Gedeelde Tafel with a multiple of the usual load. */
export const gedeeldeTafel = (factor: number): Deployment => ({
  slots: 9,
  endpoints: { menukaart: 34, afrekening: 23, archief: 28, bestelbalie: 5 },
  classes: scale(
    [
      {
        name: 'menu-lezen',
        service: 'menukaart',
        perSecond: 758,
        workMs: 218,
        targetMs: 613,
        deadlineMs: 1_534,
        importance: importanceOf(1),
        nested: {
          name: 'saldo-opvragen',
          service: 'afrekening',
          count: 1,
          isParallel: true,
          importance: importanceOf(1),
        },
      },
      {
        name: 'uitbetaling',
        service: 'afrekening',
        perSecond: 301,
        workMs: 287,
        targetMs: 830,
        deadlineMs: 2_075,
        importance: importanceOf(1),
        nested: {
          name: 'historie-index',
          service: 'archief',
          count: 2,
          isParallel: false,
          importance: importanceOf(1),
        },
      },
      {
        name: 'bestelhistorie',
        service: 'archief',
        perSecond: 261,
        workMs: 544,
        targetMs: 3_021,
        deadlineMs: 4_028,
        importance: importanceOf(2),
        nested: {
          name: 'keuken-status',
          service: 'bestelbalie',
          count: 2,
          isParallel: true,
          importance: importanceOf(2),
        },
      },
      {
        name: 'bestelling-plaatsen',
        service: 'bestelbalie',
        perSecond: 79.7,
        workMs: 178,
        targetMs: 511,
        deadlineMs: 1_226,
        importance: importanceOf(0),
      },
    ],
    factor,
  ),
});
