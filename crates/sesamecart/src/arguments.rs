//! The commands and their options.

use std::path::PathBuf;

use anyhow::Context as _;
use derive_more::FromStr;
use gumdrop::Options;
use sesamecart_fold::DrainTarget;
use sesamecart_vocabulary::{
    CustomerId, KeyHash, ModelId, Offset, PublishId, Revision, ServiceId, TeamId, Weight,
};

use crate::help;

/// How results are printed.
#[derive(Clone, Copy, Debug, Default, Eq, FromStr, PartialEq)]
#[from_str(rename_all = "lowercase")]
pub(crate) enum Output {
    /// For people.
    #[default]
    Table,
    /// For programs.
    Json,
}

#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print help, also after a command")]
    pub(crate) help: bool,
    #[options(
        no_short,
        meta = "IP:PORT,...",
        help = "nodes to ask, in this order; default: SESAMECART_SERVER"
    )]
    pub(crate) server: Option<String>,
    #[options(no_short, meta = "table|json", help = "how to print")]
    pub(crate) output: Output,
    #[options(command)]
    pub(crate) command: Option<Command>,
}

#[derive(Debug, Options)]
pub(crate) enum Command {
    #[options(help = "make a configuration from the planners' sheet")]
    Import(Import),
    #[options(help = "check a configuration, alone and against the one in force")]
    Check(Check),
    #[options(help = "tell what a configuration would change")]
    Diff(Diff),
    #[options(help = "put a configuration in force")]
    Publish(Publish),
    #[options(help = "show the nodes and the drains")]
    Status(Status),
    #[options(help = "take a failure domain, VM, endpoint or group out of service")]
    Drain(Drain),
    #[options(help = "put it back into service")]
    Undrain(Drain),
    #[options(help = "show the serving groups")]
    Groups(Show),
    #[options(help = "show who holds which shard")]
    Leases(Show),
    #[options(help = "show and change customers and their keys")]
    Customers(Customers),
    #[options(help = "show the audit trail, or add it to a file")]
    Audit(Audit),
    #[options(help = "feed recorded traces to the pure cores and compare")]
    Replay(Replay),
    #[options(help = "make a token for an operator, and its hash for the settings")]
    Token(Show),
}

#[derive(Debug, Options)]
pub(crate) struct Import {
    #[options(help = "print help")]
    pub(crate) help: bool,
    #[options(free, required, help = "the sheet")]
    pub(crate) sheet: PathBuf,
    #[options(
        no_short,
        meta = "FILE",
        help = "the inventory; default: that of the configuration in force"
    )]
    pub(crate) inventory: Option<PathBuf>,
    #[options(no_short, meta = "FILE", help = "where to write the configuration")]
    pub(crate) out: Option<PathBuf>,
}

#[derive(Debug, Options)]
pub(crate) struct Check {
    #[options(help = "print help")]
    pub(crate) help: bool,
    #[options(free, required, help = "the configuration")]
    pub(crate) configuration: PathBuf,
    #[options(no_short, help = "check it alone, without asking a node")]
    pub(crate) offline: bool,
    #[options(no_short, help = "let it take most of the capacity away at once")]
    pub(crate) allow_capacity_drop: bool,
}

#[derive(Debug, Options)]
pub(crate) struct Diff {
    #[options(help = "print help")]
    pub(crate) help: bool,
    #[options(free, required, help = "the configuration")]
    pub(crate) configuration: PathBuf,
    #[options(
        no_short,
        meta = "FILE",
        help = "the configuration to compare with; default: the one in force"
    )]
    pub(crate) against: Option<PathBuf>,
}

#[derive(Debug, Options)]
pub(crate) struct Publish {
    #[options(help = "print help")]
    pub(crate) help: bool,
    #[options(free, required, help = "the configuration")]
    pub(crate) configuration: PathBuf,
    #[options(
        no_short,
        meta = "N",
        help = "the revision it was made against, as diff and check print it; default: the one in \
                force now"
    )]
    pub(crate) base: Option<Revision>,
    #[options(no_short, help = "wait until it is in force on every node")]
    pub(crate) wait: bool,
    #[options(
        no_short,
        meta = "S",
        default = "30",
        help = "how long to wait, in seconds"
    )]
    pub(crate) timeout: u64,
    #[options(no_short, help = "let it take most of the capacity away at once")]
    pub(crate) allow_capacity_drop: bool,
    #[options(no_short, meta = "ID", help = "repeat an undecided change by its name")]
    pub(crate) publish_id: Option<PublishId>,
}

#[derive(Debug, Options)]
pub(crate) struct Status {
    #[options(help = "print help")]
    pub(crate) help: bool,
}

#[derive(Debug, Options)]
pub(crate) struct Show {
    #[options(help = "print help")]
    pub(crate) help: bool,
}

#[derive(Debug, Options)]
pub(crate) struct Drain {
    #[options(help = "print help")]
    pub(crate) help: bool,
    #[options(
        free,
        required,
        help = "failure-domain:NAME, vm:NAME, endpoint:NAME or group:NAME"
    )]
    pub(crate) target: Option<DrainTarget>,
    #[options(no_short, help = "wait until it is in force on every node")]
    pub(crate) wait: bool,
    #[options(
        no_short,
        meta = "S",
        default = "10",
        help = "how long to wait, in seconds"
    )]
    pub(crate) timeout: u64,
    #[options(no_short, meta = "ID", help = "repeat an undecided change by its name")]
    pub(crate) publish_id: Option<PublishId>,
}

#[derive(Debug, Options)]
pub(crate) struct Customers {
    #[options(help = "print help")]
    pub(crate) help: bool,
    #[options(command)]
    pub(crate) command: Option<CustomersCommand>,
}

#[derive(Debug, Options)]
pub(crate) enum CustomersCommand {
    #[options(help = "show the customers")]
    List(Show),
    #[options(help = "add a customer")]
    Add(AddCustomer),
    #[options(help = "add a key; it is printed once and only its hash is kept")]
    AddKey(AddKey),
    #[options(help = "replace one key by a new one")]
    RotateKey(OldKey),
    #[options(help = "take a key away")]
    RevokeKey(OldKey),
}

#[derive(Debug, Options)]
pub(crate) struct AddCustomer {
    #[options(help = "print help")]
    pub(crate) help: bool,
    #[options(free, required, help = "the customer's name")]
    pub(crate) customer: Option<CustomerId>,
    #[options(no_short, meta = "N", help = "the weight in fair sharing; default: 1")]
    pub(crate) weight: Option<Weight>,
    #[options(
        no_short,
        meta = "NAME",
        help = "a model that it may use; may be repeated"
    )]
    pub(crate) model: Vec<ModelId>,
    #[options(
        no_short,
        meta = "NAME",
        help = "a service that it may use; may be repeated"
    )]
    pub(crate) service: Vec<ServiceId>,
    #[options(no_short, meta = "NAME", help = "the team that administers it")]
    pub(crate) team: Option<TeamId>,
}

#[derive(Debug, Options)]
pub(crate) struct AddKey {
    #[options(help = "print help")]
    pub(crate) help: bool,
    #[options(free, required, help = "the customer's name")]
    pub(crate) customer: Option<CustomerId>,
    #[options(no_short, meta = "HASH", help = "the hash of a key made elsewhere")]
    pub(crate) hash: Option<KeyHash>,
}

#[derive(Debug, Options)]
pub(crate) struct OldKey {
    #[options(help = "print help")]
    pub(crate) help: bool,
    #[options(free, required, help = "the customer's name")]
    pub(crate) customer: Option<CustomerId>,
    #[options(free, required, help = "the hash of the key, or the start of it")]
    pub(crate) hash: String,
}

#[derive(Debug, Options)]
pub(crate) struct Audit {
    #[options(help = "print help")]
    pub(crate) help: bool,
    #[options(
        no_short,
        meta = "OFFSET",
        help = "only lines from this offset of the log on"
    )]
    pub(crate) since: Option<Offset>,
    #[options(
        no_short,
        meta = "FILE",
        help = "add the lines that FILE doesn't have yet to it, as JSON lines"
    )]
    pub(crate) export: Option<PathBuf>,
}

#[derive(Debug, Options)]
pub(crate) struct Replay {
    #[options(help = "print help")]
    pub(crate) help: bool,
    #[options(free, required, help = "the traces")]
    pub(crate) traces: Vec<PathBuf>,
}

/// What the arguments ask for.
pub(crate) enum Parsed {
    /// Help.
    Help(String),
    /// A command.
    Run(Arguments),
}

/// Reads the arguments.
pub(crate) fn parse(arguments: &[String]) -> Result<Parsed, String> {
    let parsed = Arguments::parse_args_default(arguments);
    let parsed = parsed.map_err(|error| match error.to_string().as_str() {
        "missing required free argument" => "an argument is missing".to_owned(),
        other => other.to_owned(),
    })?;
    if parsed.help_requested() {
        return Ok(Parsed::Help(help::text(&parsed)));
    }
    match &parsed.command {
        None => Err("name a command".to_owned()),
        Some(Command::Customers(Customers { command: None, .. })) => {
            Err("customers needs a command of its own".to_owned())
        }
        Some(_) => Ok(Parsed::Run(parsed)),
    }
}

/// Takes an argument that the parser has made sure of.
///
/// The parser wants a default for what isn't optional, and a name has none.
pub(crate) fn required<T: Clone>(argument: &Option<T>) -> anyhow::Result<T> {
    argument.clone().context("an argument is missing")
}
