//! Help texts with examples.

use gumdrop::Options;

use crate::arguments::Arguments;

const OVERVIEW: &str = "\
Examples:
  export SESAMECART_SERVER=10.0.0.1:9003,10.0.0.2:9003
  export SESAMECART_TOKEN=...
  sesamecart status
  sesamecart import day.csv --out config.json
  sesamecart diff config.json
  sesamecart publish config.json --base 7 --wait

Exit status: 0 done, 1 failed, 2 usage, 3 problems found, 4 conflict, 5 denied,
6 undecided, 7 not in force everywhere in time, 8 a replay differs.";

/// Returns the help of the command that was named, or of all.
pub(crate) fn text(arguments: &Arguments) -> String {
    let Some(command) = arguments.command_name() else {
        let commands = Arguments::command_list().unwrap_or_default();
        return format!(
            "Usage: sesamecart [OPTIONS] COMMAND [ARGUMENTS]\n\n{}\n\nCommands:\n{commands}\n\n{OVERVIEW}",
            arguments.self_usage()
        );
    };
    let mut names = Vec::new();
    add_names(arguments, &mut names);
    names.dedup();
    let name = names.join(" ");
    let commands = deepest(arguments).self_command_list();
    let commands = commands.map(|list| format!("\n\nCommands:\n{list}"));
    format!(
        "Usage: sesamecart {name} [ARGUMENTS]\n\n{}{}\n\nExamples:\n{}",
        deepest(arguments).self_usage(),
        commands.unwrap_or_default(),
        examples(command)
    )
}

/// Adds the names of the command and of its own command; the parser tells some of them twice.
fn add_names(options: &dyn Options, names: &mut Vec<&'static str>) {
    names.extend(options.command_name());
    if let Some(command) = options.command() {
        add_names(command, names);
    }
}

fn deepest(options: &dyn Options) -> &dyn Options {
    options.command().map_or(options, deepest)
}

fn examples(command: &str) -> &'static str {
    match command {
        "import" => {
            "  sesamecart import day.csv --inventory inventory.json --out config.json\n  \
             sesamecart import day.csv --out config.json    (inventory of the configuration in force)"
        }
        "check" => "  sesamecart check config.json\n  sesamecart check config.json --offline",
        "diff" => {
            "  sesamecart diff config.json\n  sesamecart diff config.json --against yesterday.json"
        }
        "publish" => {
            "  sesamecart publish config.json --base 7 --wait\n  \
             sesamecart publish config.json --publish-id p-18c2f-9a41    (after an undecided change)"
        }
        "drain" => {
            "  sesamecart drain failure-domain:muscat-a --wait\n  sesamecart drain vm:engine-a1"
        }
        "undrain" => "  sesamecart undrain failure-domain:muscat-a --wait",
        "customers" => {
            "  sesamecart customers list\n  \
             sesamecart customers add new-pounds --model assistant --service stock\n  \
             sesamecart customers add-key new-pounds\n  \
             sesamecart customers rotate-key new-pounds 3f5a2c\n  \
             sesamecart customers revoke-key new-pounds 3f5a2c"
        }
        "audit" => {
            "  sesamecart audit --since 1200\n  \
             sesamecart audit --export audit.jsonl    (run it more often than once per 500 changes)"
        }
        "replay" => "  sesamecart replay traces/*.jsonl",
        "groups" => "  sesamecart groups --help\n  sesamecart --output json groups",
        "leases" => "  sesamecart leases\n  sesamecart --output json leases",
        "token" => "  sesamecart token",
        _ => "  sesamecart status\n  sesamecart --output json status",
    }
}
