//! The plays: patterns of load and faults that every policy meets alike.

use derive_more::Display;

use super::size::{DOMAINS, Size};

/// A pattern of load and faults.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "snake_case")]
pub(super) enum Play {
    /// Target load without faults.
    Steady,
    /// Five times the load for a sixth of the time.
    Burst,
    /// Two customers send 80 per cent of a load above capacity.
    TwoCustomers,
    /// Three fifths of the requests share one long prefix.
    HotPrefix,
    /// One endpoint has a tenth of its speed.
    SlowEndpoint,
    /// A quarter of the requests is long.
    LongAmongShort,
    /// One and a half times what the pool can do.
    Saturation,
    /// A third of the endpoints restarts unannounced.
    SuddenCold,
    /// A failure domain is drained and comes back cold.
    DomainMove,
    /// A failure domain is drained while a burst runs.
    DomainInBurst,
    /// As `SuddenCold`, at nine tenths of what the pool can do.
    SuddenColdAtPeak,
    /// As `DomainMove`, at nine tenths of what the pool can do.
    DomainMoveAtPeak,
}

impl Play {
    pub(super) const ALL: [Self; 12] = [
        Self::Steady,
        Self::Burst,
        Self::TwoCustomers,
        Self::HotPrefix,
        Self::SlowEndpoint,
        Self::LongAmongShort,
        Self::Saturation,
        Self::SuddenCold,
        Self::DomainMove,
        Self::DomainInBurst,
        Self::SuddenColdAtPeak,
        Self::DomainMoveAtPeak,
    ];

    /// Returns the model pool's load at a time, as a part of what it can do.
    pub(super) fn load(self, size: &Size, second: f64) -> f64 {
        const BASE: f64 = 0.7;
        let begin = size.begin_s() as f64;
        let in_burst = (begin..begin + size.seconds as f64 / 6.0).contains(&second);
        match self {
            Self::Burst if in_burst => 5.0 * BASE,
            Self::DomainInBurst if in_burst => 2.0 * BASE,
            Self::TwoCustomers => 1.2,
            Self::Saturation => 1.5,
            Self::SuddenColdAtPeak | Self::DomainMoveAtPeak => 0.9,
            _ => BASE,
        }
    }

    /// Returns the part of the load that a customer sends; the parts add up to one.
    pub(super) fn customer_share(self, size: &Size, customer: usize) -> f64 {
        let others = (size.customers - 3) as f64;
        match (self, customer) {
            (Self::TwoCustomers, 0 | 1) => 0.4,
            (Self::TwoCustomers, _) => 0.2 / (size.customers - 2) as f64,
            (_, 0) => 0.25,
            (_, 1) => 0.20,
            (_, 2) => 0.15,
            _ => 0.4 / others,
        }
    }

    pub(super) const fn long_share(self, size: &Size) -> f64 {
        match self {
            Self::LongAmongShort => 0.25,
            _ => size.long_share,
        }
    }

    pub(super) const fn hot_share(self) -> f64 {
        match self {
            Self::HotPrefix => 0.6,
            _ => 0.0,
        }
    }

    /// Returns what happens to endpoints, in order of time.
    pub(super) fn faults(self, size: &Size) -> Vec<Fault> {
        let begin = size.begin_s() * 1_000;
        let end = size.end_s() * 1_000;
        let in_domain = |endpoint: &usize| endpoint.is_multiple_of(DOMAINS);
        let domain: Vec<usize> = (0..size.endpoints()).filter(in_domain).collect();
        let fault = |at_ms, kind, endpoints: &[usize]| Fault {
            at_ms,
            kind,
            endpoints: endpoints.to_vec(),
        };
        match self {
            Self::SlowEndpoint => vec![fault(begin, FaultKind::Slow, &[1])],
            Self::SuddenCold | Self::SuddenColdAtPeak => {
                let third: Vec<usize> = (0..size.endpoints()).filter(|e| e % 3 == 1).collect();
                vec![fault(begin, FaultKind::Restart, &third)]
            }
            Self::DomainMove | Self::DomainMoveAtPeak => vec![
                fault(begin, FaultKind::Drain, &domain),
                fault(end, FaultKind::Return, &domain),
            ],
            Self::DomainInBurst => {
                let during = begin + size.seconds * 1_000 / 24;
                vec![
                    fault(during, FaultKind::Drain, &domain),
                    fault(end, FaultKind::Return, &domain),
                ]
            }
            _ => Vec::new(),
        }
    }
}

/// Something that happens to endpoints.
#[derive(Clone, Debug)]
pub(super) struct Fault {
    pub(super) at_ms: u64,
    pub(super) kind: FaultKind,
    pub(super) endpoints: Vec<usize>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum FaultKind {
    /// A tenth of the speed.
    Slow,
    /// What runs there is lost, and the endpoint is cold; nobody is told.
    Restart,
    /// Operators have told every node that no new work goes there.
    Drain,
    /// Operators have told every node that the endpoint is back; it is cold.
    Return,
}
