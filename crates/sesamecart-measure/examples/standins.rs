//! Starts the platform's and the endpoints' stand-ins for nodes that run as processes of their own.
//!
//! It writes a settings file for each of three nodes and the day's sheet with the stand-ins'
//! addresses into a folder, prints the commands to go on with, and runs until it is ended.
//! docs/operators.md goes through them.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use anyhow::Context as _;
use gumdrop::Options;
use serde_json::json;
use sesamecart_config::{
    AdministrationAccess, Inventory, LinkPeer, Operator, Role, Settings, import_sheet,
};
use sesamecart_measure::{Cluster, ClusterPlan};
use sesamecart_standins::{EngineSpeed, ListedVm, VmRole, VmState};
use sesamecart_vocabulary::{Concurrency, KeyHash};

const DOMAINS: [&str; 3] = ["muscat-a", "muscat-b", "muscat-c"];
/// The token of the operator in the written settings.
const TOKEN: &str = "token-of-the-example";

/// Starts stand-ins and writes what three nodes need.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "the folder to write to")]
    folder: Option<PathBuf>,
    #[options(help = "the first of the nine ports of the nodes", default = "8080")]
    port: u16,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let Some(folder) = arguments.folder else {
        eprintln!("standins: name the folder to write to; see --help.");
        return ExitCode::from(2);
    };
    match run(&folder, arguments.port) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standins: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(folder: &Path, port: u16) -> anyhow::Result<()> {
    std::fs::create_dir_all(folder).with_context(|| format!("{}", folder.display()))?;
    let examples = PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples"));
    let cluster = Cluster::start(&ClusterPlan {
        sheet: examples.join("day.csv"),
        inventory: examples.join("inventory.json"),
        nodes: Vec::new(),
        speed: EngineSpeed {
            first_token: Duration::from_millis(50),
            prompt_token: Duration::from_micros(50),
            token: Duration::from_millis(10),
            batch_knee: Concurrency(16),
        },
        traffic_threads: 2,
    })?;
    let settings = settings(&cluster, port)?;
    write_sheet(&cluster, &examples, folder)?;
    list_nodes(&cluster, &settings)?;
    for settings in &settings {
        let path = folder.join(format!("{}.json", settings.node));
        write(&path, &serde_json::to_vec_pretty(settings)?)?;
    }
    print_commands(folder, &settings, cluster.callers_key());
    // The stand-ins' own threads serve until the process is ended.
    loop {
        std::thread::park();
    }
}

/// Makes the settings of one node in each failure domain.
fn settings(cluster: &Cluster, port: u16) -> anyhow::Result<Vec<Settings>> {
    let address = |index: usize, offset: u16| {
        let index = u16::try_from(index).expect("there are three nodes");
        SocketAddr::from(([127, 0, 0, 1], port + 3 * index + offset))
    };
    let peer = |index: usize| {
        anyhow::Ok(LinkPeer {
            node: format!("node-{index}").parse()?,
            address: address(index, 2),
            failure_domain: DOMAINS[index].parse()?,
        })
    };
    let operator = Operator {
        name: "example-operator".to_owned(),
        token: KeyHash::of(TOKEN.as_bytes()),
        role: Role::Operator,
        teams: indexmap::IndexSet::new(),
    };
    let make = |index: usize| {
        let peers = (0..DOMAINS.len()).filter(|other| *other != index).map(peer);
        let settings = json!({
            "node": format!("node-{index}"),
            "failure_domain": DOMAINS[index],
            "region": "muscat",
            "callers": address(index, 0),
            "administration": address(index, 1),
            "links": address(index, 2),
            "log": json!({ "address": cluster.log.address() }),
            "vm_list": cluster.vm_list.address(),
            "weight_store": cluster.weight_store.address(),
            "peers": peers.collect::<anyhow::Result<Vec<_>>>()?,
            "access": AdministrationAccess {
                operators: vec![operator.clone()],
                ..AdministrationAccess::default()
            },
        });
        Ok(serde_json::from_value::<Settings>(settings)?)
    };
    (0..DOMAINS.len()).map(make).collect()
}

/// Writes the example's sheet and inventory with the stand-ins' addresses and the callers' key.
fn write_sheet(cluster: &Cluster, examples: &Path, folder: &Path) -> anyhow::Result<()> {
    let inventory = std::fs::read(examples.join("inventory.json"))?;
    let mut inventory: Inventory = serde_json::from_slice(&inventory)?;
    let mut sheet = std::fs::read_to_string(examples.join("day.csv"))?;
    let example = import_sheet(sheet.as_bytes(), &inventory).configuration;
    for (id, endpoint) in &cluster.configuration.endpoints {
        let before = example
            .endpoints
            .get(id)
            .context("an endpoint is missing")?
            .address;
        sheet = sheet.replace(&format!(",{before},"), &format!(",{},", endpoint.address));
    }
    let key = KeyHash::of(cluster.callers_key().as_bytes());
    let (_, customer) = inventory.customers.first_mut().context("no customer")?;
    customer.keys.insert(key);
    write(&folder.join("day.csv"), sheet.as_bytes())?;
    write(
        &folder.join("inventory.json"),
        &serde_json::to_vec_pretty(&inventory)?,
    )
}

fn list_nodes(cluster: &Cluster, settings: &[Settings]) -> anyhow::Result<()> {
    let listed = settings.iter().map(|settings| {
        Ok(ListedVm {
            vm: settings.node.as_str().parse()?,
            address: settings.links,
            failure_domain: settings.failure_domain.clone(),
            role: VmRole::Entry,
            state: VmState::Live,
        })
    });
    cluster.vm_list.set(listed.collect::<anyhow::Result<_>>()?);
    Ok(())
}

fn write(path: &Path, bytes: &[u8]) -> anyhow::Result<()> {
    std::fs::write(path, bytes).with_context(|| format!("{}", path.display()))
}

fn print_commands(folder: &Path, settings: &[Settings], callers_key: &str) {
    let folder = folder.display();
    println!("The stand-ins run until this process is ended. In other terminals:");
    for settings in settings {
        println!(
            "  target/release/sesamecart-node {folder}/{}.json",
            settings.node
        );
    }
    println!("Then, as an operator:");
    println!("  export SESAMECART_SERVER={}", settings[0].administration);
    println!("  export SESAMECART_TOKEN={TOKEN}");
    println!("and as a caller:");
    println!(
        "  curl -N http://{}/v1/chat/completions -H 'authorization: Bearer {callers_key}' \\\n    \
         -d '{{\"model\":\"assistant\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'",
        settings[0].callers
    );
}
