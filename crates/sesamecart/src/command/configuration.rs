//! Making, checking and comparing configurations.

use anyhow::Context as _;
use sesamecart_administration::{CheckReply, CheckRequest, ConfigurationReply};
use sesamecart_config::{Change, Configuration, Inventory, ProblemReport, import_sheet};

use super::{Failure, Session, count_words, print_problems, read_json};
use crate::arguments::{Check, Diff, Import};
use crate::exit::Exit;
use crate::output;

pub(super) fn import(session: &Session<'_>, options: &Import) -> Result<Exit, Failure> {
    let inventory: Inventory = match &options.inventory {
        Some(path) => read_json(path)?,
        None => {
            let reply: ConfigurationReply = session.client()?.get("/v1/configuration")?;
            Inventory::from(&reply.configuration)
        }
    };
    let sheet = std::fs::read(&options.sheet);
    let sheet = sheet.with_context(|| options.sheet.display().to_string())?;
    let import = import_sheet(&sheet, &inventory);
    if !import.problems.is_empty() {
        let problems: Vec<_> = import
            .problems
            .into_iter()
            .map(ProblemReport::from)
            .collect();
        let count = count_words(&problems);
        eprintln!("sesamecart: {}: {count}:", options.sheet.display());
        print_problems(&problems);
        return Ok(Exit::Problems);
    }
    let cfg = &import.configuration;
    let text = serde_json::to_string_pretty(cfg).context("the configuration can't be written")?;
    match &options.out {
        None => println!("{text}"),
        Some(path) => {
            std::fs::write(path, text + "\n").with_context(|| path.display().to_string())?;
            println!(
                "{}: sheet {} of {}: {} groups, {} endpoints, {} customers.",
                path.display(),
                cfg.sheet,
                cfg.date,
                cfg.groups.len(),
                cfg.endpoints.len(),
                cfg.customers.len()
            );
        }
    }
    Ok(Exit::Done)
}

pub(super) fn check(session: &Session<'_>, options: &Check) -> Result<Exit, Failure> {
    let configuration: Configuration = read_json(&options.configuration)?;
    if options.offline {
        let problems = configuration.check().into_iter().map(ProblemReport::from);
        return Ok(checked(&problems.collect::<Vec<_>>()));
    }
    let request = CheckRequest {
        allow_capacity_drop: options.allow_capacity_drop,
        configuration,
    };
    let reply: CheckReply = session
        .client()?
        .post("/v1/configuration/check", &request)?;
    output::print(session.output, &reply, |reply| {
        println!("against revision {}:", reply.revision);
        println!("{} changes.", reply.changes.len());
    });
    Ok(checked(&reply.problems))
}

fn checked(problems: &[ProblemReport]) -> Exit {
    if problems.is_empty() {
        println!("no problems.");
        return Exit::Done;
    }
    eprintln!("sesamecart: {}:", count_words(problems));
    print_problems(problems);
    Exit::Problems
}

pub(super) fn diff(session: &Session<'_>, options: &Diff) -> Result<Exit, Failure> {
    let configuration: Configuration = read_json(&options.configuration)?;
    if let Some(path) = &options.against {
        let old: Configuration = read_json(path)?;
        let changes = old.diff(&configuration);
        output::print(session.output, &changes, |changes| print_changes(changes));
        return Ok(Exit::Done);
    }
    let request = CheckRequest {
        allow_capacity_drop: true,
        configuration,
    };
    let reply: CheckReply = session
        .client()?
        .post("/v1/configuration/check", &request)?;
    output::print(session.output, &reply, |reply| {
        print_changes(&reply.changes);
        println!("publish it with --base {}.", reply.revision);
    });
    Ok(Exit::Done)
}

fn print_changes(changes: &[Change]) {
    if changes.is_empty() {
        println!("nothing changes.");
    }
    for change in changes {
        println!("{change}");
    }
}
