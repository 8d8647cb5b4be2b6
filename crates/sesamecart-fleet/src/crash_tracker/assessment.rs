//! Attributes crashes to requests, and to parts of their prompts.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use sesamecart_vocabulary::{CustomerId, Fingerprint};

use super::report::{CrashReport, CrashedRun, EndpointCrash, Suspicion};
use super::suspects::SuspectKind;

/// The maximum difference between the times after which runs of one suspect crash their endpoints.
///
/// A suspect that crashes endpoints does so at the same point of each run. One that only shares the endpoints
/// is interrupted at any point.
const RUN_TIME_TOLERANCE: Duration = Duration::from_millis(150);

/// The number of crashes above the limit after which parts that always come together are blocked together.
const TIE_MARGIN: u32 = 2;

/// The number of crashes from which on a part that never completed explains those of one that did.
const EXPLAINING_CRASHES: u32 = 2;

/// What the evidence says about one suspect.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct Assessment {
    pub(super) suspicion: Suspicion,
    /// The largest number of successive crashes after about the same run time; of a part that was cleared, only those
    /// that no other suspect explains.
    pub(super) strikes: u32,
    /// The number of crashes after about the same run time, of a part that hasn't been cleared. They may have happened
    /// at once.
    similar_crashes: u32,
    /// The number of strikes, of a part without the crashes that another suspect explains.
    pub(super) undecided_strikes: u32,
    /// The number of them that is enough to block the suspect.
    pub(super) limit: u32,
    /// The crashes that are enough to block the suspect.
    pub(super) decisive: Vec<EndpointCrash>,
    /// The customers whose requests were interrupted with the part in their prompts.
    pub(super) customers: IndexSet<Option<CustomerId>>,
}

impl Assessment {
    /// Returns whether the next crash may be enough to block the suspect, or as many crashes happened before nodes
    /// could hear of them.
    pub(super) const fn is_one_strike_away(&self) -> bool {
        let is_repeated = self.strikes > 1 && self.similar_crashes + 1 >= self.limit;
        is_repeated || (self.strikes > 0 && self.strikes + 1 >= self.limit)
    }

    /// Returns whether it has to be decided whether the suspect is blocked.
    pub(super) const fn is_undecided(&self) -> bool {
        self.limit > 0 && self.undecided_strikes >= self.limit
    }
}

/// The runs of one suspect that one crash interrupted.
#[derive(Clone, Debug)]
struct Interruption<'a> {
    /// The number of earlier crashes that the sender knew of.
    crashes: u32,
    ran_ms: u32,
    /// The requests whose prompts hold the suspect; none if it is a whole request.
    holders: Vec<&'a Fingerprint>,
}

/// The evidence of all nodes, ordered by crash.
struct Evidence<'a> {
    clearances: IndexMap<&'a Fingerprint, u32>,
    blocked: IndexSet<&'a Fingerprint>,
    crashes: IndexMap<&'a EndpointCrash, IndexMap<&'a Fingerprint, Interruption<'a>>>,
    /// The crashes that interrupted each suspect.
    crashes_of: IndexMap<&'a Fingerprint, Vec<&'a EndpointCrash>>,
    customers: IndexMap<&'a Fingerprint, IndexSet<Option<CustomerId>>>,
}

/// One suspect at one crash.
#[derive(Clone, Copy)]
struct Entry<'e, 'a> {
    suspect: &'a Fingerprint,
    crash: &'a EndpointCrash,
    interruption: &'e Interruption<'a>,
}

/// Assesses each suspect for which there is evidence. The result depends only on the set of reports, not on
/// the order in which they arrived, so that all nodes reach the same one.
pub(super) fn assess<'a>(
    reports: impl Iterator<Item = &'a CrashReport> + Clone,
) -> IndexMap<Fingerprint, Assessment> {
    let evidence = Evidence::collect(reports);
    let suspects = evidence.clearances.iter();
    suspects
        .map(|(suspect, clearances)| (**suspect, evidence.assess(suspect, *clearances)))
        .collect()
}

impl<'a> Evidence<'a> {
    fn collect(reports: impl Iterator<Item = &'a CrashReport> + Clone) -> Self {
        let clearances = clearances(reports.clone());
        let is_valid = |suspect: &Fingerprint, number: u32| {
            clearances.get(suspect).is_none_or(|last| number >= *last)
        };
        let blocks = reports.clone().flat_map(|report| &report.blocks);
        let blocked = blocks
            .filter(|block| is_valid(&block.request, block.clearances))
            .map(|block| &block.request)
            .collect();
        let mut crashes: IndexMap<_, IndexMap<_, _>> = IndexMap::new();
        let mut customers: IndexMap<_, IndexSet<_>> = IndexMap::new();
        for run in reports.flat_map(|report| &report.runs) {
            let interrupted = crashes.entry(&run.crash).or_default();
            if !run.is_of_part_only() && is_valid(&run.request, run.suspicion.clearances) {
                add_request(interrupted, run);
            }
            for part in &run.parts {
                if is_valid(&part.part, part.suspicion.clearances) {
                    add_part(interrupted, run, &part.part, part.suspicion);
                    let of_part = customers.entry(&part.part).or_default();
                    of_part.insert(run.customer.clone());
                }
            }
        }
        let mut crashes_of: IndexMap<_, Vec<_>> = IndexMap::new();
        for (crash, interrupted) in &crashes {
            for suspect in interrupted.keys() {
                crashes_of.entry(*suspect).or_default().push(*crash);
            }
        }
        Self {
            clearances,
            blocked,
            crashes,
            crashes_of,
            customers,
        }
    }

    fn entries(&self, suspect: &Fingerprint) -> impl Iterator<Item = Entry<'_, 'a>> {
        let crashes = self.crashes_of.get_key_value(suspect);
        let crashes = crashes
            .into_iter()
            .flat_map(|(suspect, crashes)| crashes.iter().map(move |crash| (*suspect, *crash)));
        crashes.map(|(suspect, crash)| Entry {
            suspect,
            crash,
            interruption: &self.crashes[crash][suspect],
        })
    }

    fn assess(&self, suspect: &Fingerprint, clearances: u32) -> Assessment {
        let entries: Vec<Entry<'_, '_>> = self.entries(suspect).collect();
        let crashes = entries.iter().map(|entry| entry.interruption.crashes + 1);
        let crashes = crashes.max().unwrap_or(0);
        let assessment = Assessment {
            suspicion: Suspicion {
                crashes,
                clearances,
            },
            strikes: crashes.min(1),
            limit: self.limit(suspect),
            customers: self.customers.get(suspect).cloned().unwrap_or_default(),
            ..Assessment::default()
        };
        // Nothing follows from a single crash, and most suspects are bystanders of one.
        if crashes <= 1 {
            return assessment;
        }
        if self.is_part(suspect) {
            self.count_strikes_of_part(&entries, assessment)
        } else {
            self.count_strikes_of_request(&entries, assessment)
        }
    }

    fn count_strikes_of_request(
        &self,
        entries: &[Entry<'_, '_>],
        assessment: Assessment,
    ) -> Assessment {
        let strikes = self.strikes_of(entries);
        let decisive = self.decisive(entries, &strikes, assessment.limit);
        let strikes = strikes.iter().copied().max().unwrap_or(0);
        Assessment {
            strikes,
            undecided_strikes: strikes,
            decisive: decisive.map(|(entry, _)| entry.crash.clone()).collect(),
            ..assessment
        }
    }

    fn count_strikes_of_part(
        &self,
        entries: &[Entry<'_, '_>],
        assessment: Assessment,
    ) -> Assessment {
        let strikes = self.strikes_of(entries);
        let decisive = self.decisive(entries, &strikes, assessment.limit);
        let decisive: Vec<_> = decisive.collect();
        let undecided = decisive.iter().map(|(_, strikes)| *strikes).max();
        let undecided = undecided.unwrap_or(0);
        let decisive = decisive.iter().map(|(entry, _)| entry.crash.clone());
        let decisive = decisive.collect();
        if assessment.suspicion.clearances > 0 {
            return Assessment {
                strikes: undecided,
                undecided_strikes: undecided,
                decisive,
                ..assessment
            };
        }
        let similar = entries.iter().map(|entry| self.similar_crashes(entry));
        Assessment {
            strikes: strikes.into_iter().max().unwrap_or(0),
            similar_crashes: similar.max().unwrap_or(0),
            undecided_strikes: undecided,
            decisive,
            ..assessment
        }
    }

    fn strikes_of(&self, entries: &[Entry<'_, '_>]) -> Vec<u32> {
        entries.iter().map(|entry| self.strikes(entry)).collect()
    }

    /// Returns the crashes that are enough to block the suspect, with the strikes up to each.
    fn decisive<'s, 'e, 'b>(
        &'s self,
        entries: &'s [Entry<'e, 'b>],
        strikes: &'s [u32],
        limit: u32,
    ) -> impl Iterator<Item = (&'s Entry<'e, 'b>, u32)> {
        let counted = entries.iter().zip(strikes.iter().copied());
        counted.filter(move |(entry, strikes)| *strikes >= limit && !self.is_explained(entry))
    }

    /// Returns the number of strikes that is enough to block a suspect.
    fn limit(&self, suspect: &Fingerprint) -> u32 {
        let kind = match self.is_part(suspect) {
            true => SuspectKind::Part,
            false => SuspectKind::Request,
        };
        kind.crash_limit(self.clearances.get(suspect).copied().unwrap_or(0))
    }

    fn is_part(&self, suspect: &Fingerprint) -> bool {
        self.customers.contains_key(suspect)
    }

    fn was_cleared(&self, suspect: &Fingerprint) -> bool {
        self.clearances
            .get(suspect)
            .is_some_and(|number| *number > 0)
    }

    /// Returns the number of successive crashes after about the same run time, up to this one.
    fn strikes(&self, entry: &Entry<'_, '_>) -> u32 {
        self.similar_crashes(entry)
            .min(entry.interruption.crashes + 1)
    }

    /// Returns the number of crashes that interrupted the suspect after about the same run time as this one,
    /// including those that happened at once.
    fn similar_crashes(&self, entry: &Entry<'_, '_>) -> u32 {
        let ran_ms = entry.interruption.ran_ms;
        let similar = self.entries(entry.suspect).filter(|other| {
            let difference = other.interruption.ran_ms.abs_diff(ran_ms);
            u128::from(difference) <= RUN_TIME_TOLERANCE.as_millis()
        });
        u32::try_from(similar.count()).unwrap_or(u32::MAX)
    }

    /// Returns whether something else that was running comes into question as much as the suspect.
    fn is_explained(&self, entry: &Entry<'_, '_>) -> bool {
        let others = self.crashes[entry.crash].iter();
        let others = others.map(|(suspect, interruption)| Entry {
            suspect,
            crash: entry.crash,
            interruption,
        });
        let mut others = others.filter(|other| other.suspect != entry.suspect);
        others.any(|other| match self.is_part(entry.suspect) {
            true => self.explains_part(&other, entry),
            false => self.explains_request(&other, entry),
        })
    }

    /// Returns whether another suspect comes into question as much as a request.
    fn explains_request(&self, other: &Entry<'_, '_>, suspected: &Entry<'_, '_>) -> bool {
        if self.blocked.contains(other.suspect) {
            return true;
        }
        if self.is_part(other.suspect) && self.was_cleared(other.suspect) {
            return false;
        }
        let similar = self.similar_crashes(other);
        if other.is_held_by(suspected.suspect) {
            return similar > self.similar_crashes(suspected);
        }
        similar >= self.strikes(suspected) || self.is_likelier(other, suspected)
    }

    /// Returns whether another suspect comes into question as much as a part of a prompt.
    fn explains_part(&self, other: &Entry<'_, '_>, suspected: &Entry<'_, '_>) -> bool {
        if suspected.is_held_by(other.suspect) {
            return false;
        }
        if self.blocked.contains(other.suspect) {
            return true;
        }
        let similar = self.similar_crashes(other);
        let suspected_similar = self.similar_crashes(suspected);
        if !self.is_part(other.suspect) {
            return similar >= suspected_similar;
        }
        let cleared = [other, suspected].map(|entry| self.was_cleared(entry.suspect));
        match cleared {
            [true, false] => false,
            [false, true] => similar >= EXPLAINING_CRASHES,
            _ if other.shares_holder(suspected) && similar == suspected_similar => {
                self.strikes(suspected) < self.limit(suspected.suspect) + TIE_MARGIN
            }
            _ => similar >= suspected_similar,
        }
    }

    /// Returns whether another suspect has also crashed endpoints on which the suspected request wasn't running.
    ///
    /// The suspected request isn't sent while its last crash is examined. If another one is the cause, that
    /// one crashes the next endpoint meanwhile.
    fn is_likelier(&self, other: &Entry<'_, '_>, suspected: &Entry<'_, '_>) -> bool {
        let mut entries = self.entries(other.suspect);
        entries.any(|entry| {
            self.strikes(&entry) > 1 && !self.crashes[entry.crash].contains_key(suspected.suspect)
        })
    }
}

impl Entry<'_, '_> {
    /// Returns whether the suspect is a part of the prompt of `request`.
    fn is_held_by(&self, request: &Fingerprint) -> bool {
        self.interruption.holders.contains(&request)
    }

    /// Returns whether one request holds both parts.
    fn shares_holder(&self, other: &Self) -> bool {
        let mut holders = self.interruption.holders.iter();
        holders.any(|holder| other.is_held_by(holder))
    }
}

/// Returns the number of clearances of each suspect that is mentioned in a report.
fn clearances<'a>(
    reports: impl Iterator<Item = &'a CrashReport>,
) -> IndexMap<&'a Fingerprint, u32> {
    let mut clearances: IndexMap<&Fingerprint, u32> = IndexMap::new();
    let mut raise = |suspect: &'a Fingerprint, number: u32| {
        let last = clearances.entry(suspect).or_default();
        *last = (*last).max(number);
    };
    for report in reports {
        for run in &report.runs {
            raise(&run.request, run.suspicion.clearances);
            for part in &run.parts {
                raise(&part.part, part.suspicion.clearances);
            }
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

/// Adds a run of a request. Copies of it on one endpoint count once: of those that say most, the youngest is kept.
fn add_request<'a>(
    interrupted: &mut IndexMap<&'a Fingerprint, Interruption<'a>>,
    run: &'a CrashedRun,
) {
    let added = Interruption {
        crashes: run.suspicion.crashes,
        ran_ms: run.ran_ms,
        holders: Vec::new(),
    };
    let rank = |interruption: &Interruption<'_>| {
        (interruption.crashes, std::cmp::Reverse(interruption.ran_ms))
    };
    let known = interrupted.entry(&run.request);
    let known = known.or_insert_with(|| added.clone());
    if rank(&added) > rank(known) {
        *known = added;
    }
}

/// Adds a part of a run's prompt. The longest of the runs with it counts, as the others had only begun.
fn add_part<'a>(
    interrupted: &mut IndexMap<&'a Fingerprint, Interruption<'a>>,
    run: &'a CrashedRun,
    part: &'a Fingerprint,
    suspicion: Suspicion,
) {
    let known = interrupted.entry(part).or_insert_with(|| Interruption {
        crashes: 0,
        ran_ms: 0,
        holders: Vec::new(),
    });
    known.crashes = known.crashes.max(suspicion.crashes);
    known.ran_ms = known.ran_ms.max(run.ran_ms);
    if !known.holders.contains(&&run.request) {
        known.holders.push(&run.request);
    }
}
