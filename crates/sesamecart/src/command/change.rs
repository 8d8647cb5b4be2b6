//! Changes: publish and drain, and waiting until they are in force.

use std::time::{Duration, Instant};

use anyhow::Context as _;
use sesamecart_administration::{
    ChangeOutcome, ChangeReply, ConfigurationReply, DrainRequest, NodeReply, PublishRequest,
    StatusReply,
};
use sesamecart_config::Configuration;
use sesamecart_fold::PublishVerdict;
use sesamecart_vocabulary::{Offset, PublishId, Revision};

use super::{Failure, Session, read_json};
use crate::arguments::{Drain, Publish, required};
use crate::client::{Client, RequestError};
use crate::command::customers::random_hex;
use crate::exit::Exit;
use crate::output;

/// How often the nodes are asked while waiting.
const WAIT_POLL: Duration = Duration::from_millis(100);

pub(super) fn publish(session: &Session<'_>, options: &Publish) -> Result<Exit, Failure> {
    let configuration: Configuration = read_json(&options.configuration)?;
    let client = session.client()?;
    let base_revision = match options.base {
        Some(base) => base,
        None => in_force(&client)?.revision,
    };
    let request = PublishRequest {
        publish_id: new_publish_id(options.publish_id.as_ref())?,
        base_revision,
        allow_capacity_drop: options.allow_capacity_drop,
        configuration,
    };
    let reply = send(&client, "/v1/configuration", &request, &request.publish_id)?;
    output::print(session.output, &reply, |reply| {
        println!("{}.", reply.outcome)
    });
    if options.wait {
        return wait(&client, &reply, Duration::from_secs(options.timeout));
    }
    Ok(Exit::Done)
}

pub(super) fn drain(session: &Session<'_>, options: &Drain, on: bool) -> Result<Exit, Failure> {
    let target = required(&options.target)?;
    let client = session.client()?;
    let request = DrainRequest {
        publish_id: new_publish_id(options.publish_id.as_ref())?,
        target: target.clone(),
        on,
    };
    let reply = send(&client, "/v1/drains", &request, &request.publish_id)?;
    let word = if on { "drained" } else { "back in service" };
    output::print(session.output, &reply, |reply| {
        let place = match &reply.outcome {
            ChangeOutcome::Decided(PublishVerdict::Accepted { offset, .. }) => {
                format!("in the log at offset {offset}")
            }
            other => other.to_string(),
        };
        println!("{target} is {word}: {place}.");
    });
    if options.wait {
        return wait(&client, &reply, Duration::from_secs(options.timeout));
    }
    Ok(Exit::Done)
}

/// Publishes a changed copy of the configuration in force.
pub(super) fn publish_changed(
    client: &Client,
    current: ConfigurationReply,
) -> Result<ChangeReply, Failure> {
    let request = PublishRequest {
        publish_id: new_publish_id(None)?,
        base_revision: current.revision,
        allow_capacity_drop: false,
        configuration: current.configuration,
    };
    send(client, "/v1/configuration", &request, &request.publish_id)
}

pub(super) fn in_force(client: &Client) -> Result<ConfigurationReply, Failure> {
    Ok(client.get("/v1/configuration")?)
}

/// Sends a change; if it may have taken effect without an answer, names it for a repeat.
fn send(
    client: &Client,
    path: &str,
    request: &impl serde::Serialize,
    publish_id: &PublishId,
) -> Result<ChangeReply, Failure> {
    client.post(path, request).map_err(|error| {
        if let RequestError::LostAnswer(_) = &error {
            eprintln!("sesamecart: the change is named --publish-id {publish_id}.");
        }
        error.into()
    })
}

fn new_publish_id(given: Option<&PublishId>) -> Result<PublishId, Failure> {
    if let Some(given) = given {
        return Ok(given.clone());
    }
    let id = format!("p-{}", random_hex(12)?);
    Ok(id.parse().context("a new publish id")?)
}

/// Waits until a change is in force on every node that the answering one knows.
fn wait(client: &Client, reply: &ChangeReply, limit: Duration) -> Result<Exit, Failure> {
    let ChangeOutcome::Decided(PublishVerdict::Accepted { offset, .. }) = &reply.outcome else {
        eprintln!("sesamecart: not in the log yet, so there is nothing to wait for.");
        return Ok(Exit::NotEverywhere);
    };
    let begun = Instant::now();
    let mut shown = String::new();
    loop {
        let status: StatusReply = client.get("/v1/status")?;
        let has = |node: &&NodeReply| node.next_offset > Some(*offset);
        let count = status.nodes.iter().filter(has).count();
        let line = format!("in force on {count}/{}", status.nodes.len());
        if count == status.nodes.len() {
            println!("{line}.");
            return Ok(Exit::Done);
        }
        if line != shown {
            eprintln!("{line}, waiting ...");
            shown = line;
        }
        if begun.elapsed() >= limit {
            report_missing(&status, *offset);
            return Ok(Exit::NotEverywhere);
        }
        std::thread::sleep(WAIT_POLL);
    }
}

fn report_missing(status: &StatusReply, offset: Offset) {
    for node in &status.nodes {
        if node.next_offset <= Some(offset) {
            let revision = node.revision.unwrap_or(Revision(0));
            eprintln!(
                "sesamecart: not in force on {} ({}, revision {revision}).",
                node.node, node.state
            );
        }
    }
}
