//! Looking at nodes, groups and leases.

use sesamecart_administration::{GroupsReply, LeasesReply, StatusReply};

use super::{Failure, Session};
use crate::exit::Exit;
use crate::output::{self, Table, list, or_dash, utc};

pub(super) fn status(session: &Session<'_>) -> Result<Exit, Failure> {
    let reply: StatusReply = session.client()?.get("/v1/status")?;
    output::print(session.output, &reply, print_status);
    Ok(Exit::Done)
}

fn print_status(reply: &StatusReply) {
    let log = if reply.log_answers {
        "answers"
    } else {
        "is out"
    };
    println!(
        "{} has revision {} in force; the log {log}.",
        reply.node, reply.revision
    );
    let mut table = Table::new(&["NODE", "FAILURE DOMAIN", "STATE", "REVISION", "NEXT OFFSET"]);
    for node in &reply.nodes {
        table.row([
            node.node.to_string(),
            node.failure_domain.to_string(),
            node.state.to_string(),
            or_dash(node.revision),
            or_dash(node.next_offset),
        ]);
    }
    table.print();
    if reply.drains.is_empty() {
        println!("no drains.");
        return;
    }
    let mut table = Table::new(&["DRAINED", "BY", "SINCE", "STATE"]);
    for drain in &reply.drains {
        table.row([
            drain.target.to_string(),
            drain.author.clone(),
            utc(drain.at_ms),
            drain.state.to_string(),
        ]);
    }
    table.print();
}

pub(super) fn groups(session: &Session<'_>) -> Result<Exit, Failure> {
    let reply: GroupsReply = session.client()?.get("/v1/groups")?;
    output::print(session.output, &reply, |reply| {
        let mut table = Table::new(&[
            "GROUP",
            "MODEL",
            "GENERATION",
            "CONFIGURED",
            "ASSIGNED",
            "DRAINED",
        ]);
        for group in &reply.groups {
            table.row([
                group.group.to_string(),
                group.model.to_string(),
                or_dash(group.generation),
                list(&group.configured_vms),
                list(&group.assigned_vms),
                if group.drained { "yes" } else { "no" }.to_owned(),
            ]);
        }
        table.print();
    });
    Ok(Exit::Done)
}

pub(super) fn leases(session: &Session<'_>) -> Result<Exit, Failure> {
    let reply: LeasesReply = session.client()?.get("/v1/leases")?;
    output::print(session.output, &reply, |reply| {
        let mut table = Table::new(&["SHARD", "HOLDER", "EPOCH", "STATE", "VOTERS"]);
        for lease in &reply.leases {
            table.row([
                lease.shard.to_string(),
                lease.holder.to_string(),
                lease.epoch.to_string(),
                if lease.released {
                    "released"
                } else {
                    "claimed"
                }
                .to_owned(),
                list(&lease.voters),
            ]);
        }
        table.print();
    });
    Ok(Exit::Done)
}
