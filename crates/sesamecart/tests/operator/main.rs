//! The command line against real nodes and a stand-in of the platform's log.

mod deployment;

use std::time::Duration;

use deployment::{Deployment, Run, example};
use serde_json::Value;
use sesamecart_standins::{LogConfig, LogFaults, LogOutage, Retention};

/// Publishes the example day and returns its file.
fn publish_day(deployment: &Deployment) -> String {
    let config = deployment.file("config.json");
    let import = [
        "import",
        &example("day.csv"),
        "--inventory",
        &example("inventory.json"),
    ];
    deployment
        .run("salma", &[&import[..], &["--out", &config]].concat())
        .done();
    deployment
        .run("salma", &["publish", &config, "--base", "0", "--wait"])
        .done();
    config
}

#[test]
fn day_is_imported_published_and_in_force_everywhere() {
    let deployment = Deployment::start(3, LogConfig::default());
    let config = deployment.file("config.json");
    let import = [
        "import",
        &example("day.csv"),
        "--inventory",
        &example("inventory.json"),
    ];
    deployment
        .run("salma", &[&import[..], &["--out", &config]].concat())
        .done();
    deployment
        .run("salma", &["check", &config])
        .done()
        .says("no problems");
    let diff = deployment.run("salma", &["diff", &config]).done();
    diff.says("group pound-a1: added, model assistant")
        .says("--base 0");
    let published = deployment.run("salma", &["publish", &config, "--base", "0", "--wait"]);
    published
        .done()
        .says("accepted as revision 1")
        .says("in force on 3/3");
    deployment
        .run("omar", &["status"])
        .done()
        .says("n3")
        .says("no drains");
    deployment.run("omar", &["groups"]).done().says("pound-c2");
    let audit = deployment.run("omar", &["audit"]).done();
    audit
        .says("salma")
        .says("revision 1: sheet 1 of 2026-12-03")
        .says("accepted");
}

/// Two operators made their changes against the same revision. The second must be told who was
/// faster, and nothing of its change may be in force.
#[test]
fn second_operator_gets_a_conflict_that_names_the_first() {
    let deployment = Deployment::start(2, LogConfig::default());
    let config = publish_day(&deployment);
    let late = deployment.run("ines", &["publish", &config, "--base", "0"]);
    late.exits(4).says("revision 1 by salma came first");
    deployment
        .run("omar", &["audit"])
        .done()
        .says("rejected: conflict");
}

#[test]
fn yesterdays_sheet_and_a_capacity_drop_are_refused() {
    let deployment = Deployment::start(1, LogConfig::default());
    let config = publish_day(&deployment);
    let text = std::fs::read_to_string(config).unwrap();
    let old = deployment.file("old.json");
    std::fs::write(&old, text.replace("2026-12-03", "2026-12-02")).unwrap();
    deployment
        .run("salma", &["publish", &old])
        .exits(3)
        .says("export today's sheet");
    let mut fewer: serde_json::Value = serde_json::from_str(&text).unwrap();
    fewer["sheet"] = 2.into();
    for endpoint in ["stock-a", "stock-b"] {
        fewer["endpoints"].as_object_mut().unwrap().remove(endpoint);
    }
    let small = deployment.file("small.json");
    std::fs::write(&small, fewer.to_string()).unwrap();
    let refused = deployment.run("salma", &["publish", &small]);
    refused
        .exits(3)
        .says("service stock")
        .says("--allow-capacity-drop");
    let allowed = deployment.run(
        "salma",
        &["publish", &small, "--allow-capacity-drop", "--wait"],
    );
    allowed.done().says("accepted as revision 2");
}

#[test]
fn roles_and_tokens_decide_what_is_allowed() {
    let deployment = Deployment::start(1, LogConfig::default());
    let config = publish_day(&deployment);
    deployment
        .run("omar", &["publish", &config])
        .exits(5)
        .says("needs the role operator");
    deployment
        .run("vera", &["drain", "vm:engine-a1"])
        .exits(5)
        .says("needs the role on-call");
    deployment
        .run("nobody", &["status"])
        .exits(5)
        .says("SESAMECART_TOKEN");
}

/// Two teams share the platform. One team's operator must neither see the other's customers nor
/// reach beyond its own service.
#[test]
fn team_sees_and_changes_its_own_only() {
    let deployment = Deployment::start(1, LogConfig::default());
    let config = publish_day(&deployment);
    let text = std::fs::read_to_string(&config).unwrap();
    let mut teams: serde_json::Value = serde_json::from_str(&text).unwrap();
    teams["services"]["stock"]["team"] = "ledger".into();
    teams["customers"]["sohar-pounds"]["team"] = "ledger".into();
    std::fs::write(&config, teams.to_string()).unwrap();
    deployment
        .run("salma", &["publish", &config, "--wait"])
        .done();
    let seen = deployment.run("lina", &["customers", "list"]).done();
    assert!(seen.says("sohar-pounds").lacks("harbour-pounds"));
    deployment
        .run("lina", &["customers", "add-key", "sohar-pounds"])
        .done();
    deployment
        .run("lina", &["customers", "add-key", "harbour-pounds"])
        .exits(1);
    deployment
        .run("lina", &["publish", &config])
        .exits(5)
        .says("not of your teams");
    deployment
        .run("lina", &["drain", "endpoint:stock-a"])
        .done();
    let refused = deployment.run("lina", &["drain", "failure-domain:muscat-a"]);
    refused.exits(5).says("an operator of the whole platform");
    deployment.run("lina", &["leases"]).exits(5);
    let audit = deployment.run("lina", &["audit"]).done();
    assert!(audit.says("endpoint:stock-a").lacks("salma"));
    let all = deployment.run("salma", &["customers", "list"]).done();
    all.says("harbour-pounds")
        .says("small-pounds")
        .says("sohar-pounds");
}

#[test]
fn script_without_pause_is_slowed_down() {
    let deployment = Deployment::start(1, LogConfig::default());
    let answers = deployment.answers_in_a_row(300);
    assert!(answers.contains(&200));
    assert!(answers.contains(&429));
    deployment.run("salma", &["status"]).done();
}

#[test]
fn domain_is_drained_and_put_back() {
    let deployment = Deployment::start(3, LogConfig::default());
    publish_day(&deployment);
    let drained = deployment.run("omar", &["drain", "failure-domain:muscat-a", "--wait"]);
    drained.done().says("in force on 3/3");
    deployment
        .run("vera", &["status"])
        .done()
        .says("failure-domain:muscat-a")
        .says("in the log");
    assert_eq!(deployment.open_endpoints(), [6, 6, 6]);
    deployment
        .run("omar", &["undrain", "failure-domain:muscat-a", "--wait"])
        .done();
    assert_eq!(deployment.open_endpoints(), [9, 9, 9]);
}

/// The log is out, silently or with refusals, when operators must take a domain out. The drain must
/// reach every node within three seconds, and be in the log once that is back.
macro_rules! outages {
    ($($name:ident: $outage:ident;)*) => {$(
        #[test]
        fn $name() {
            let deployment = Deployment::start(3, LogConfig::default());
            publish_day(&deployment);
            deployment.log_outage(LogOutage::$outage);
            let drained = deployment.run("omar", &["drain", "failure-domain:muscat-b"]);
            drained.done().says("provisional for ").says("the log is out");
            deployment.wait_for("the drain on every node", |deployment| {
                deployment.open_endpoints() == [6, 6, 6]
            });
            deployment.run("vera", &["status"]).done().says("provisional, ");
            deployment.log_outage(LogOutage::None);
            deployment.wait_for("the drain in the log", |deployment| {
                deployment.run("vera", &["status"]).done().text().contains("in the log")
            });
            assert_eq!(deployment.open_endpoints(), [6, 6, 6]);
            deployment.record(
                &format!("recorded-{}", stringify!($name).replace('_', "-")),
                "A domain was drained on three nodes while the log was out, and then the log came back.",
            );
        }
    )*};
}

outages! {
    drain_while_the_log_refuses: Refusing;
    drain_while_the_log_cuts_connections: Cutting;
    drain_while_the_log_is_silent: Silent;
}

#[test]
fn publish_while_the_log_is_out_changes_nothing() {
    let deployment = Deployment::start(2, LogConfig::default());
    let config = publish_day(&deployment);
    deployment.log_outage(LogOutage::Refusing);
    let refused = deployment.run("salma", &["publish", &config, "--base", "1"]);
    refused.exits(1).says("nothing was changed");
    deployment.log_outage(LogOutage::None);
    deployment
        .run("salma", &["publish", &config, "--base", "1", "--wait"])
        .done();
}

/// Most answers of the log are lost after the record was kept. Every change must count once, and
/// the operator must learn its true verdict.
#[test]
fn lost_answers_neither_double_nor_lose_a_change() {
    let deployment = Deployment::start(2, LogConfig::default());
    let config = publish_day(&deployment);
    deployment.log_faults(LogFaults {
        lost_answers: 0.7,
        ..LogFaults::default()
    });
    for base in 1..4 {
        let base = base.to_string();
        let published = deployment.run("salma", &["publish", &config, "--base", &base]);
        published.done().says("accepted as revision");
    }
    deployment.log_faults(LogFaults::default());
    deployment.wait_for("revision 4", |deployment| deployment.revisions() == [4, 4]);
    deployment.record(
        "recorded-lost-answers",
        "Seven of ten answers of the log were lost while three configurations were published.",
    );
}

/// The log keeps records for two seconds only. A node that starts later finds the publish and the
/// drain gone and must come to the same configuration and drains through a checkpoint.
#[test]
fn new_node_starts_from_a_checkpoint() {
    let retention = Retention {
        records: None,
        age: Some(Duration::from_secs(2)),
    };
    let config = LogConfig {
        retention,
        ..LogConfig::default()
    };
    let mut deployment = Deployment::start(2, config);
    publish_day(&deployment);
    let drain = ["drain", "failure-domain:muscat-c", "--wait"];
    deployment.run("omar", &drain).done();
    deployment.wait_for("the end of the retention", |deployment| {
        !deployment.log_holds("drain") && deployment.log_holds("checkpoint")
    });
    deployment.start_node();
    deployment.wait_for("the new node", |deployment| {
        deployment.revisions() == [1, 1, 1]
    });
    assert_eq!(deployment.open_endpoints(), [6, 6, 6]);
}

/// An entry VM is replaced while the log is out. The new node must take the newest state that a
/// majority of the nodes holds, or callers would meet a node without any configuration.
#[test]
fn new_node_starts_from_its_peers_while_the_log_is_out() {
    let mut deployment = Deployment::start(3, LogConfig::default());
    publish_day(&deployment);
    deployment.log_outage(LogOutage::Refusing);
    deployment.start_node();
    deployment.wait_for("the new node", |deployment| {
        deployment.revisions() == [1, 1, 1, 1] && deployment.is_ready(3)
    });
}

/// A partition separates one node from the log, whose calls get no answer. What operators change must
/// reach its callers all the same, and it stays ready.
#[test]
fn node_cut_off_from_the_log_follows_its_peers() {
    let mut deployment = Deployment::start(3, LogConfig::default());
    publish_day(&deployment);
    deployment.start_node_without_log();
    deployment.wait_for("the node that is cut off", |deployment| {
        deployment.revisions() == [1, 1, 1, 1] && deployment.is_ready(3)
    });
    deployment
        .run_at(0, "omar", &["drain", "failure-domain:muscat-a"])
        .done()
        .says("in the log at offset ");
    deployment.wait_for("the drain on every node", |deployment| {
        deployment.open_endpoints() == [6, 6, 6, 6]
    });
    assert!(deployment.is_ready(3));
}

#[test]
fn keys_are_added_rotated_and_revoked_by_their_hashes() {
    let deployment = Deployment::start(1, LogConfig::default());
    publish_day(&deployment);
    let customer = "small-pounds";
    let added = deployment
        .run("salma", &["customers", "add-key", customer])
        .done();
    let key = added.field("key: ");
    let hash = added.field("hash: ");
    deployment.wait_for("the key", |deployment| deployment.knows_key(&key));
    let rotated = deployment
        .run("salma", &["customers", "rotate-key", customer, &hash])
        .done();
    let new = rotated.field("key: ");
    deployment.wait_for("the new key", |deployment| {
        deployment.knows_key(&new) && !deployment.knows_key(&key)
    });
    let revoked = rotated.field("hash: ");
    deployment
        .run("salma", &["customers", "revoke-key", customer, &revoked])
        .done();
    deployment.wait_for("the end of the key", |deployment| {
        !deployment.knows_key(&new)
    });
    let config = std::fs::read_to_string(deployment.file("config.json")).unwrap();
    assert!(!config.contains(&key));
    let added = ["customers", "add", "new-pounds", "--model", "assistant"];
    deployment.run("salma", &added).done().says("accepted");
    deployment
        .run("vera", &["customers", "list"])
        .done()
        .says("new-pounds");
}

#[test]
fn audit_is_exported_without_doubles() {
    let deployment = Deployment::start(1, LogConfig::default());
    publish_day(&deployment);
    let file = deployment.file("audit.jsonl");
    let export = ["audit", "--export", &file];
    deployment.run("vera", &export).done().says("lines added");
    let drain = ["drain", "vm:engine-a1", "--wait"];
    deployment.run("omar", &drain).done();
    for _ in 0..2 {
        deployment.run("vera", &export).done().says("lines added");
    }
    let text = std::fs::read_to_string(file).unwrap();
    let lines = text
        .lines()
        .map(|line| serde_json::from_str::<Value>(line).unwrap());
    let lines: Vec<_> = lines.collect();
    let offsets: Vec<_> = lines
        .iter()
        .map(|line| line["offset"].as_u64().unwrap())
        .collect();
    assert!(offsets.is_sorted_by(|one, next| one < next), "{offsets:?}");
    let count = |kind: &str| lines.iter().filter(|line| line["kind"] == kind).count();
    assert_eq!([count("publish"), count("drain")], [1, 1]);
}

#[test]
fn replay_tells_a_trace_that_differs() {
    let trace = example("../traces/vm-assigned-twice.jsonl");
    Run::of(&["replay", &trace]).done().says("as stated");
    let text = std::fs::read_to_string(&trace).unwrap();
    let wrong = std::env::temp_dir().join(format!("sesamecart-wrong-{}.jsonl", std::process::id()));
    let changed = text.replace("\"engine-a4\":\"pound-a2\"", "\"engine-a4\":\"pound-a1\"");
    std::fs::write(&wrong, changed).unwrap();
    let replayed = Run::of(&["replay", wrong.to_str().unwrap()]);
    std::fs::remove_file(&wrong).unwrap();
    replayed.exits(8).says("assignments");
}
