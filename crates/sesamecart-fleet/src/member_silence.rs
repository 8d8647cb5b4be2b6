//! Measures for how long the members of groups have been silent.

use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::{EndpointId, Timestamp};

#[cfg(test)]
mod tests;

/// The longest time between two probes of a silent member for which it counts as silent in between.
const MAX_PROBE_GAP: Duration = Duration::from_secs(1);

/// The members that don't answer probes.
#[derive(Debug, Default)]
pub struct MemberSilences {
    silences: IndexMap<EndpointId, Silence>,
}

#[derive(Clone, Copy, Debug)]
struct Silence {
    since: Timestamp,
    probed_at: Timestamp,
}

impl MemberSilences {
    /// Records that a member answered a probe.
    pub fn record_answer(&mut self, id: &EndpointId) {
        self.silences.swap_remove(id);
    }

    /// Records that a member didn't answer a probe from `started_at` until `now`. Returns for how long it has been
    /// silent.
    pub fn record_silence(
        &mut self,
        now: Timestamp,
        started_at: Timestamp,
        id: &EndpointId,
    ) -> Duration {
        self.silences
            .retain(|_, silence| started_at.since(silence.probed_at) <= MAX_PROBE_GAP);
        let silence = self.silences.entry(id.clone()).or_insert(Silence {
            since: started_at,
            probed_at: now,
        });
        silence.probed_at = now;
        now.since(silence.since)
    }
}
