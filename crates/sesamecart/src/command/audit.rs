//! The audit trail.

use std::fs::OpenOptions;
use std::io::Write as _;
use std::path::Path;

use anyhow::Context as _;
use sesamecart_administration::AuditReply;
use sesamecart_fold::AuditEntry;
use sesamecart_vocabulary::Offset;

use super::{Failure, Session};
use crate::arguments::Audit;
use crate::exit::Exit;
use crate::output::{self, Table, utc};

pub(super) fn run(session: &Session<'_>, options: &Audit) -> Result<Exit, Failure> {
    let mut reply: AuditReply = session.client()?.get("/v1/audit")?;
    if let Some(since) = options.since {
        reply.entries.retain(|entry| entry.offset >= since);
    }
    if let Some(path) = &options.export {
        return export(path, &reply);
    }
    output::print(session.output, &reply, |reply| {
        let mut table = Table::new(&[
            "OFFSET", "TIME", "KIND", "BY", "FROM", "SUBJECT", "OLD", "NEW", "VERDICT",
        ]);
        for entry in &reply.entries {
            table.row([
                entry.offset.to_string(),
                utc(entry.logged_at_ms),
                entry.kind.to_string(),
                entry.author.clone(),
                entry.from.clone(),
                entry.subject.clone(),
                entry.old.clone(),
                entry.new.clone(),
                entry.verdict.clone(),
            ]);
        }
        table.print();
    });
    Ok(Exit::Done)
}

/// Adds the lines that the file doesn't have yet.
///
/// Nodes keep only the newest lines. A run that comes too late would leave a hole in the file that
/// nobody sees, so it is told.
fn export(path: &Path, reply: &AuditReply) -> Result<Exit, Failure> {
    let last = last_offset(path)?;
    let news = |entry: &&AuditEntry| last.is_none_or(|last| entry.offset > last);
    let entries: Vec<_> = reply.entries.iter().filter(news).collect();
    let file = OpenOptions::new().create(true).append(true).open(path);
    let mut file = file.with_context(|| path.display().to_string())?;
    let mut text = String::new();
    for entry in &entries {
        text += &serde_json::to_string(entry).context("an audit line")?;
        text.push('\n');
    }
    let written = file
        .write_all(text.as_bytes())
        .and_then(|()| file.sync_all());
    written.with_context(|| path.display().to_string())?;
    let oldest = reply.entries.first().map(|entry| entry.offset);
    if let (Some(last), Some(oldest)) = (last, oldest)
        && oldest > last
    {
        eprintln!(
            "sesamecart: the node keeps lines from offset {oldest} on and the file ends at {last}; \
             lines between them may be missing."
        );
    }
    println!("{}: {} lines added.", path.display(), entries.len());
    Ok(Exit::Done)
}

fn last_offset(path: &Path) -> Result<Option<Offset>, Failure> {
    if !path.exists() {
        return Ok(None);
    }
    let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
    let Some(line) = text.lines().rfind(|line| !line.trim().is_empty()) else {
        return Ok(None);
    };
    let entry: AuditEntry = serde_json::from_str(line)
        .with_context(|| format!("{}: the last line is not an audit line", path.display()))?;
    Ok(Some(entry.offset))
}
