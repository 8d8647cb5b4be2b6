//! Attributes crashes to requests.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use sesamecart_vocabulary::Fingerprint;

use super::CRASH_LIMIT;
use super::report::{CrashReport, CrashedRun, EndpointCrash, Suspicion};

/// The maximum difference between the times after which runs of one request crash their endpoints.
///
/// A request that crashes endpoints does so at the same point of each run. One that only shares the endpoints
/// is interrupted at any point.
const RUN_TIME_TOLERANCE: Duration = Duration::from_millis(150);

/// What the evidence says about one request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct Assessment {
    pub(super) suspicion: Suspicion,
    /// The largest number of successive crashes after about the same run time.
    pub(super) strikes: u32,
    /// The crashes that are enough to block the request.
    pub(super) decisive: Vec<EndpointCrash>,
}

/// The runs that one crash interrupted, by request.
type Interrupted<'a> = IndexMap<&'a Fingerprint, &'a CrashedRun>;

/// The evidence of all nodes, ordered by crash.
struct Evidence<'a> {
    clearances: IndexMap<&'a Fingerprint, u32>,
    blocked: IndexSet<&'a Fingerprint>,
    crashes: IndexMap<&'a EndpointCrash, Interrupted<'a>>,
    runs_of: IndexMap<&'a Fingerprint, Vec<&'a CrashedRun>>,
}

/// Assesses each request for which there is evidence. The result depends only on the set of reports, not on
/// the order in which they arrived, so that all nodes reach the same one.
pub(super) fn assess<'a>(
    reports: impl Iterator<Item = &'a CrashReport> + Clone,
) -> IndexMap<Fingerprint, Assessment> {
    let evidence = Evidence::collect(reports);
    let requests = evidence.clearances.iter();
    requests
        .map(|(request, clearances)| (**request, evidence.assess(request, *clearances)))
        .collect()
}

impl<'a> Evidence<'a> {
    fn collect(reports: impl Iterator<Item = &'a CrashReport> + Clone) -> Self {
        let clearances = clearances(reports.clone());
        let is_valid = |request: &Fingerprint, number: u32| {
            clearances.get(request).is_none_or(|last| number >= *last)
        };
        let blocks = reports.clone().flat_map(|report| &report.blocks);
        let blocked = blocks
            .filter(|block| is_valid(&block.request, block.clearances))
            .map(|block| &block.request)
            .collect();
        let runs = reports.flat_map(|report| &report.runs);
        let runs = runs.filter(|run| is_valid(&run.request, run.suspicion.clearances));
        let crashes = interrupted_by_crash(runs);
        let mut runs_of: IndexMap<&Fingerprint, Vec<&CrashedRun>> = IndexMap::new();
        for interrupted in crashes.values() {
            for (request, run) in interrupted {
                runs_of.entry(request).or_default().push(run);
            }
        }
        Self {
            clearances,
            blocked,
            crashes,
            runs_of,
        }
    }

    fn assess(&self, request: &Fingerprint, clearances: u32) -> Assessment {
        let runs = self.runs_of.get(request);
        let runs = runs.map(Vec::as_slice).unwrap_or_default();
        let crashes = runs.iter().map(|run| run.suspicion.crashes + 1).max();
        let strikes = runs.iter().map(|run| self.strikes(run)).max();
        let decisive = runs.iter().filter(|run| self.is_decisive(run));
        Assessment {
            suspicion: Suspicion {
                crashes: crashes.unwrap_or(0),
                clearances,
            },
            strikes: strikes.unwrap_or(0),
            decisive: decisive.map(|run| run.crash.clone()).collect(),
        }
    }

    /// Returns the number of successive crashes after about the same run time, up to the one that
    /// interrupted this run.
    fn strikes(&self, run: &CrashedRun) -> u32 {
        self.similar_crashes(run).min(run.suspicion.crashes + 1)
    }

    /// Returns the number of crashes that interrupted the request after about the same run time, including
    /// those that happened at once.
    fn similar_crashes(&self, run: &CrashedRun) -> u32 {
        let runs = self.runs_of.get(&run.request);
        let runs = runs.map(Vec::as_slice).unwrap_or_default();
        let similar = runs.iter().filter(|other| {
            u128::from(other.ran_ms.abs_diff(run.ran_ms)) <= RUN_TIME_TOLERANCE.as_millis()
        });
        u32::try_from(similar.count()).unwrap_or(u32::MAX)
    }

    /// Returns whether the crash that interrupted a run is enough to block the request: it isn't the first
    /// one, and no other interrupted request comes into question as much.
    fn is_decisive(&self, run: &CrashedRun) -> bool {
        let strikes = self.strikes(run);
        if strikes < CRASH_LIMIT {
            return false;
        }
        let interrupted = &self.crashes[&run.crash];
        let others = interrupted.values();
        let mut others = others.filter(|other| other.request != run.request);
        !others.any(|other| {
            self.blocked.contains(&other.request)
                || self.similar_crashes(other) >= strikes
                || self.is_likelier(other, run)
        })
    }

    /// Returns whether another interrupted request has also crashed endpoints on which the suspected request
    /// wasn't running.
    ///
    /// The suspected request isn't sent while its last crash is examined. If another one is the cause, that
    /// one crashes the next endpoint meanwhile.
    fn is_likelier(&self, other: &CrashedRun, suspected: &CrashedRun) -> bool {
        let mut runs = self.runs_of.get(&other.request).into_iter().flatten();
        runs.any(|run| {
            self.strikes(run) > 1 && !self.crashes[&run.crash].contains_key(&suspected.request)
        })
    }
}

/// Returns the number of clearances of each request that is mentioned in a report.
fn clearances<'a>(
    reports: impl Iterator<Item = &'a CrashReport>,
) -> IndexMap<&'a Fingerprint, u32> {
    let mut clearances: IndexMap<&Fingerprint, u32> = IndexMap::new();
    let mut raise = |request: &'a Fingerprint, number: u32| {
        let last = clearances.entry(request).or_default();
        *last = (*last).max(number);
    };
    for report in reports {
        for run in &report.runs {
            raise(&run.request, run.suspicion.clearances);
        }
        for block in &report.blocks {
            raise(&block.request, block.clearances);
        }
        for clearance in &report.clearances {
            raise(&clearance.request, clearance.number);
        }
    }
    clearances
}

fn interrupted_by_crash<'a>(
    runs: impl Iterator<Item = &'a CrashedRun>,
) -> IndexMap<&'a EndpointCrash, Interrupted<'a>> {
    let mut crashes: IndexMap<&EndpointCrash, Interrupted<'_>> = IndexMap::new();
    for run in runs {
        let interrupted = crashes.entry(&run.crash).or_default();
        let known = interrupted.entry(&run.request).or_insert(run);
        // Copies of a request on one endpoint count once. The youngest of those that say most is kept, on
        // all nodes the same.
        let rank = |run: &CrashedRun| (run.suspicion.crashes, std::cmp::Reverse(run.ran_ms));
        if rank(run) > rank(known) {
            *known = run;
        }
    }
    crashes
}
