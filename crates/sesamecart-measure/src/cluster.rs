//! Stand-ins and nodes of one deployment, started together in one process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use anyhow::{Context as _, bail, ensure};
use indexmap::IndexMap;
use sesamecart_config::{
    AdministrationAccess, CallerBounds, Configuration, EndpointKind, Inventory, LinkPeer,
    LogSettings, Settings, TlsSettings, import_sheet,
};
use sesamecart_decisions::settings::DecisionSettings;
use sesamecart_edges::{HttpClient, HttpLog, Log as _};
use sesamecart_fold::{DrainTarget, Record};
use sesamecart_node::Node;
use sesamecart_runtime::{Signal, Worker, sleep};
use sesamecart_standins::{
    Engine, EngineConfig, EngineSpeed, Ledger, ListedVm, LogConfig, LogService, PlainService,
    PlainServiceConfig, VmList, VmRole, VmState, WeightStore, WeightStoreConfig,
};
use sesamecart_vocabulary::{
    Bytes, EndpointId, FailureDomainId, KeyHash, NodeId, Offset, RegionId, Revision, ServiceId,
};

/// The caller's key that every cluster's customers have.
const CALLERS_KEY: &str = "key-of-the-example";

/// How long a change may take to be in force before a run counts as failed.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(20);

/// One node of a cluster.
#[derive(Clone, Debug)]
pub struct NodePlan {
    /// Its name.
    pub node: NodeId,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
}

/// What a cluster is made of.
#[derive(Clone, Debug)]
pub struct ClusterPlan {
    /// The planners' sheet.
    pub sheet: PathBuf,
    /// The inventory that the sheet refers to.
    pub inventory: PathBuf,
    /// The nodes.
    pub nodes: Vec<NodePlan>,
    /// How fast the engines are.
    pub speed: EngineSpeed,
    /// The traffic threads of each node.
    pub traffic_threads: usize,
}

/// A running deployment.
#[derive(Debug)]
pub struct Cluster {
    /// The platform's log.
    pub log: LogService,
    /// The platform's VM list.
    pub vm_list: VmList,
    /// The platform's weight store.
    pub weight_store: WeightStore,
    /// The engines of the serving groups.
    pub engines: IndexMap<EndpointId, Engine>,
    /// The plain services.
    pub services: IndexMap<EndpointId, PlainService>,
    /// The ledger of each plain service, which its processes share.
    pub ledgers: IndexMap<ServiceId, Ledger>,
    /// The nodes.
    pub nodes: Vec<Node>,
    /// The configuration, with the stand-ins' addresses.
    pub configuration: Configuration,
    operator: HttpLog,
    changes: u64,
    worker: Worker,
}

impl Cluster {
    /// Starts stand-ins for all that the sheet names and then the nodes; nothing is published yet.
    ///
    /// # Errors
    ///
    /// Returns an error when the sheet has problems or something can't start.
    pub fn start(plan: &ClusterPlan) -> anyhow::Result<Self> {
        let mut configuration = read_configuration(plan)?;
        let log = LogService::start(LogConfig::default())?;
        let weight_store = WeightStore::start(WeightStoreConfig {
            bytes: Bytes(1_000_000),
            bytes_per_second: Bytes(10_000_000),
            loads_at_once: 4,
        })?;
        let mut engines = IndexMap::new();
        let mut services = IndexMap::new();
        let mut ledgers: IndexMap<ServiceId, Ledger> = IndexMap::new();
        for (id, endpoint) in &mut configuration.endpoints {
            match &endpoint.kind {
                EndpointKind::Group(group) => {
                    let group = configuration
                        .groups
                        .get(group)
                        .context("a group is missing")?;
                    let engine = Engine::start(EngineConfig {
                        speed: plan.speed,
                        cold_limit: endpoint.limits.cold,
                        kv_tokens: endpoint.limits.kv_tokens,
                        members: group.vms.iter().cloned().collect(),
                        checks_epoch: endpoint.checks_epoch,
                        ..EngineConfig::default()
                    })?;
                    endpoint.address = engine.address();
                    engines.insert(id.clone(), engine);
                }
                EndpointKind::Service(service) => {
                    let ledger = ledgers.entry(service.clone()).or_default().clone();
                    let config = PlainServiceConfig {
                        ledger,
                        ..PlainServiceConfig::default()
                    };
                    let service = PlainService::start(config)?;
                    endpoint.address = service.address();
                    services.insert(id.clone(), service);
                }
            }
        }
        let worker = Worker::start("operator")?;
        let client = HttpClient::new(worker.tasks().clone(), Duration::from_secs(1));
        let operator = HttpLog::new(client, log.address(), Duration::from_secs(5));
        let vm_list = VmList::start(Vec::new(), Duration::from_millis(500))?;
        let mut cluster = Self {
            log,
            vm_list,
            weight_store,
            engines,
            services,
            ledgers,
            nodes: Vec::new(),
            configuration,
            operator,
            changes: 0,
            worker,
        };
        for node in &plan.nodes {
            cluster.start_node(node, plan.traffic_threads)?;
        }
        Ok(cluster)
    }

    /// Starts a node that knows the nodes started before it.
    ///
    /// # Errors
    ///
    /// Returns an error when the node can't start.
    pub fn start_node(&mut self, plan: &NodePlan, traffic_threads: usize) -> anyhow::Result<()> {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let peers = self.nodes.iter().map(|node| LinkPeer {
            node: node.shared().settings.node.clone(),
            address: node.links(),
            failure_domain: node.shared().settings.failure_domain.clone(),
        });
        let region = self
            .configuration
            .failure_domains
            .get(&plan.failure_domain)
            .map_or_else(
                || "local".parse::<RegionId>(),
                |domain| Ok(domain.region.clone()),
            )?;
        let settings = Settings {
            node: plan.node.clone(),
            failure_domain: plan.failure_domain.clone(),
            region,
            callers: loopback,
            administration: loopback,
            access: AdministrationAccess::default(),
            links: loopback,
            tls: TlsSettings::default(),
            log: LogSettings {
                address: self.log.address(),
                poll_ms: 200,
                checkpoint_ms: 600_000,
                checkpoint_records: 10_000,
            },
            vm_list: Some(self.vm_list.address()),
            weight_store: Some(self.weight_store.address()),
            peers: peers.collect(),
            traffic_threads,
            bounds: CallerBounds::default(),
            decisions: DecisionSettings::default(),
            balancer_delay_ms: 50,
            leave_limit_ms: 10_000,
        };
        self.nodes.push(Node::start(settings)?);
        self.list_nodes()
    }

    /// Shows the nodes in the VM list.
    fn list_nodes(&self) -> anyhow::Result<()> {
        let listed = self.nodes.iter().map(|node| {
            let settings = &node.shared().settings;
            Ok(ListedVm {
                vm: settings.node.as_str().parse()?,
                address: node.links(),
                failure_domain: settings.failure_domain.clone(),
                role: VmRole::Entry,
                state: VmState::Live,
            })
        });
        self.vm_list.set(listed.collect::<anyhow::Result<_>>()?);
        Ok(())
    }

    /// Returns the key with which callers of every customer call.
    #[must_use]
    pub fn callers_key(&self) -> &'static str {
        CALLERS_KEY
    }

    /// Returns where callers connect to a node.
    #[must_use]
    pub fn callers(&self, node: usize) -> SocketAddr {
        self.nodes[node].callers()
    }

    /// Publishes the configuration and returns the time from the acknowledged append until it is in
    /// force on every node.
    ///
    /// # Errors
    ///
    /// Returns an error when the append fails or the change isn't in force in time.
    pub async fn publish(&mut self) -> anyhow::Result<Duration> {
        let base_revision = self
            .nodes
            .first()
            .context("no node runs")?
            .shared()
            .snapshot
            .load()
            .revision;
        let record = Record::Publish {
            publish_id: self.next_change()?,
            base_revision,
            author: "planner".to_owned(),
            from: "127.0.0.1".to_owned(),
            at_ms: wall_clock_ms(),
            configuration: Box::new(self.configuration.clone()),
        };
        let offset = self.append(&record).await?;
        let taken = self.wait_in_force(offset).await?;
        let revision = self.nodes[0].shared().snapshot.load().revision;
        ensure!(
            revision == base_revision.next(),
            "the configuration was not accepted"
        );
        Ok(taken)
    }

    /// Drains a target or ends its drain, and returns the time until that is in force everywhere.
    ///
    /// # Errors
    ///
    /// Returns an error when the append fails or the change isn't in force in time.
    pub async fn drain(&mut self, target: DrainTarget, on: bool) -> anyhow::Result<Duration> {
        let record = Record::Drain {
            publish_id: self.next_change()?,
            target,
            on,
            author: "operator".to_owned(),
            from: "127.0.0.1".to_owned(),
            at_ms: wall_clock_ms(),
        };
        let offset = self.append(&record).await?;
        self.wait_in_force(offset).await
    }

    fn next_change(&mut self) -> anyhow::Result<sesamecart_vocabulary::PublishId> {
        self.changes += 1;
        Ok(format!("change-{}", self.changes).parse()?)
    }

    async fn append(&self, record: &Record) -> anyhow::Result<Offset> {
        Ok(self.operator.append(record.encode().into()).await?)
    }

    async fn wait_in_force(&self, offset: Offset) -> anyhow::Result<Duration> {
        let begun = Instant::now();
        while begun.elapsed() < IN_FORCE_LIMIT {
            let applied = |node: &Node| node.shared().snapshot.load().next_offset > offset;
            if self.nodes.iter().all(applied) {
                return Ok(begun.elapsed());
            }
            sleep(Duration::from_millis(1)).await;
        }
        bail!("the change at offset {offset} was not in force on every node in time")
    }

    /// Waits until every node says that it is ready.
    ///
    /// # Errors
    ///
    /// Returns an error that names a node that doesn't become ready, and why.
    pub async fn wait_ready(&self) -> anyhow::Result<()> {
        let begun = Instant::now();
        loop {
            let unready = self.nodes.iter().find_map(|node| {
                let because = node.shared().unready_because()?;
                Some((&node.shared().settings.node, because))
            });
            let Some((node, because)) = unready else {
                return Ok(());
            };
            ensure!(
                begun.elapsed() < IN_FORCE_LIMIT,
                "{node} is not ready: {because}"
            );
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Returns the revision that a node has in force.
    #[must_use]
    pub fn revision(&self, node: usize) -> Revision {
        self.nodes[node].shared().snapshot.load().revision
    }

    /// Kills a node as a crash would, and starts it again later under the same name.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no such node.
    pub fn kill_node(&mut self, node: &NodeId) -> anyhow::Result<()> {
        let named = |one: &Node| one.shared().settings.node == *node;
        let index = self.nodes.iter().position(named);
        self.nodes.remove(index.context("no such node")?).kill();
        Ok(())
    }

    /// Lets a node leave in good order and returns how many connections it cut off.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no such node.
    pub async fn leave_node(&mut self, node: &NodeId) -> anyhow::Result<usize> {
        let named = |one: &Node| one.shared().settings.node == *node;
        let index = self.nodes.iter().position(named);
        let node = self.nodes.remove(index.context("no such node")?);
        let (_never, hurry) = Signal::new();
        Ok(node.leave(&hurry).await)
    }

    /// Stops all nodes and stand-ins and joins their threads.
    pub fn stop(mut self) {
        for node in self.nodes.drain(..) {
            node.kill();
        }
        self.worker.stop();
    }
}

fn read_configuration(plan: &ClusterPlan) -> anyhow::Result<Configuration> {
    let inventory =
        std::fs::read(&plan.inventory).with_context(|| format!("{}", plan.inventory.display()))?;
    let inventory: Inventory = serde_json::from_slice(&inventory)
        .with_context(|| format!("{}", plan.inventory.display()))?;
    let sheet = std::fs::read(&plan.sheet).with_context(|| format!("{}", plan.sheet.display()))?;
    let import = import_sheet(&sheet, &inventory);
    ensure!(
        import.problems.is_empty(),
        "the sheet has problems: {:?}",
        import.problems
    );
    let mut configuration = import.configuration;
    // The inventory holds hashes of keys only, so the example's customer gets a key of its own.
    let customer = configuration
        .customers
        .first_mut()
        .context("the inventory has no customer")?;
    customer.1.keys.insert(KeyHash::of(CALLERS_KEY.as_bytes()));
    Ok(configuration)
}

fn wall_clock_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
