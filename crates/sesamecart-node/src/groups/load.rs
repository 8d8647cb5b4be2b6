//! An endpoint's own report, as docs/design/platform.md gives it.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;
use sesamecart_edges::HttpClient;
use sesamecart_groups::{GroupReport, MemberReport};
use sesamecart_vocabulary::{Generation, GroupId, Incarnation, Timestamp, VmId};

/// How long an endpoint may take to report its load.
const LOAD_LIMIT: Duration = Duration::from_millis(400);
/// The largest load report that is read.
const MAX_REPORT_BYTES: sesamecart_vocabulary::Bytes = sesamecart_vocabulary::Bytes(64 * 1024);

/// An endpoint's report.
#[derive(Debug, Deserialize)]
pub(crate) struct Load {
    pub(crate) running: u32,
    #[serde(default)]
    pub(crate) incarnation: Incarnation,
    #[serde(default)]
    generation: Generation,
    #[serde(default = "is_ready")]
    pub(crate) ready: bool,
    #[serde(default)]
    members: IndexMap<VmId, Member>,
}

#[derive(Debug, Deserialize)]
struct Member {
    incarnation: Incarnation,
    generation: Generation,
    ready: bool,
}

/// Plain services say nothing about being ready; those that answer are.
const fn is_ready() -> bool {
    true
}

impl Load {
    /// Reads the report as one about a group.
    pub(crate) fn of_group(&self, group: GroupId, asked_at: Timestamp) -> GroupReport {
        let member = |(vm, member): (&VmId, &Member)| {
            let report = MemberReport {
                incarnation: member.incarnation,
                generation: member.generation,
                ready: member.ready,
            };
            (vm.clone(), report)
        };
        GroupReport {
            group,
            asked_at,
            incarnation: self.incarnation,
            generation: self.generation,
            ready: self.ready,
            members: self.members.iter().map(member).collect(),
        }
    }
}

/// Asks an endpoint for its load; nothing if it doesn't answer in time.
pub(crate) async fn fetch_load(client: &HttpClient, peer: SocketAddr) -> Option<Load> {
    let response = client
        .get(peer, "/load", MAX_REPORT_BYTES, LOAD_LIMIT)
        .await
        .ok()?;
    serde_json::from_slice(response.body()).ok()
}
