//! A fleet of real processes on loopback for the tests of this crate: the platform's stand-in,
//! engines, plain services and entries. Each process is killed when its value is dropped.

#![allow(dead_code)]

pub(crate) mod caller;
pub(crate) mod catalogue;
pub(crate) mod changes;
pub(crate) mod load;
pub(crate) mod process;
pub(crate) mod relay;

use std::time::Duration;

use serde_json::{Value, json};

pub(crate) use caller::Caller;
pub(crate) use process::Process;

/// The bearer key of the owner `lima`.
pub(crate) const LIMA: &str = "lima-key";
/// The bearer key of the owner `texas`.
pub(crate) const TEXAS: &str = "texas-key";

/// Longest wait of a test for a state.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A platform, upstreams and entries.
pub(crate) struct Fleet {
    pub(crate) platform: Process,
    pub(crate) engines: Vec<Process>,
    pub(crate) services: Vec<Process>,
    pub(crate) entries: Vec<Process>,
    pub(crate) directory: tempfile::TempDir,
    /// Settings overridden for each entry started from now on.
    pub(crate) settings: Vec<String>,
    /// Whether entries have keys for the mesh.
    pub(crate) meshed: bool,
}

impl Fleet {
    /// Starts only a platform, without a catalogue.
    pub(crate) fn platform() -> Self {
        Self::platform_with(&["--append-rate", "0"])
    }

    /// Starts only a platform with these options, without a catalogue.
    pub(crate) fn platform_with(options: &[&str]) -> Self {
        Self {
            platform: Process::standin("standin-platform", options),
            engines: Vec::new(),
            services: Vec::new(),
            entries: Vec::new(),
            directory: tempfile::tempdir().unwrap(),
            settings: Vec::new(),
            meshed: false,
        }
    }

    /// Like [`Self::start`], with meshed entries.
    pub(crate) async fn meshed(engines: usize, services: usize, entries: usize) -> Self {
        let mut fleet = Self::start(engines, services, 0).await;
        fleet.mesh();
        for _ in 0..entries {
            let index = fleet.add_entry();
            fleet.list_entry(index).await;
        }
        fleet.ready().await;
        fleet
    }

    /// Issues the mesh keys for entries started from now on.
    pub(crate) fn mesh(&mut self) {
        self.meshed = true;
        let ids: Vec<String> = (0..9).map(|index| format!("entry-{index}")).collect();
        peer::issue::write_keys(&self.directory.path().join("keys"), &ids).unwrap();
    }

    /// Lists an entry under its mesh address.
    pub(crate) async fn list_entry(&self, index: usize) {
        let status = self.status(index).await;
        let address = status["peer_address"].as_str().unwrap();
        self.list(&format!("entry-{index}"), "entry", "", address)
            .await;
    }

    /// Starts engines, services and entries with the usual catalogue.
    pub(crate) async fn start(engines: usize, services: usize, entries: usize) -> Self {
        let mut fleet = Self::platform();
        fleet.publish(&catalogue::usual()).await;
        for _ in 0..engines {
            fleet.add_engine(&["--time-scale", "10"]).await;
        }
        for _ in 0..services {
            fleet.add_service(&[]).await;
        }
        for _ in 0..entries {
            fleet.add_entry();
        }
        fleet.ready().await;
        fleet
    }

    /// Starts an engine and lists it.
    pub(crate) async fn add_engine(&mut self, options: &[&str]) -> String {
        let id = format!("engine-{}", self.engines.len() + 1);
        let mut all = vec!["--engine", id.as_str(), "--report-lag-ms", "100"];
        all.extend(options);
        let process = Process::standin("standin-engine", &all);
        self.list(&id, "engine", "llm-pool", &process.address).await;
        self.engines.push(process);
        id
    }

    /// Restarts an engine at its address, without any state.
    pub(crate) fn restart_engine(&mut self, index: usize, options: &[&str]) {
        self.engines[index].kill();
        let address = self.engines[index].address.clone();
        let id = format!("engine-{}", index + 1);
        let mut all = vec!["--listen", &address, "--engine", &id];
        all.extend(["--report-lag-ms", "100"]);
        all.extend(options);
        self.engines[index] = Process::standin("standin-engine", &all);
    }

    /// Starts a service and lists it.
    pub(crate) async fn add_service(&mut self, options: &[&str]) -> String {
        let id = format!("service-{}", self.services.len() + 1);
        let process = Process::standin("standin-service", options);
        self.list(&id, "service", "kiosk-api", &process.address)
            .await;
        self.services.push(process);
        id
    }

    /// Starts an entry without waiting until it is ready.
    pub(crate) fn add_entry(&mut self) -> usize {
        let index = self.entries.len();
        let process = self.entry_process(index);
        self.entries.push(process);
        index
    }

    /// Restarts an entry under the same id and address.
    pub(crate) fn restart_entry_at_its_address(&mut self, index: usize) {
        let address = format!("listen.address={}", self.entries[index].address);
        self.settings.push(address);
        self.entries[index] = self.entry_process(index);
        self.settings.pop();
    }

    fn entry_process(&self, index: usize) -> Process {
        let path = self.directory.path().join(format!("entry-{index}.yaml"));
        let text = format!(
            "instance:\n  id: entry-{index}\n  data_centre: callao\n\
             listen:\n  address: 127.0.0.1:0\n\
             admin:\n  address: 127.0.0.1:0\n  token: admin-token\n\
             peer:\n  address: 127.0.0.1:0\n{}\
             platform:\n  log: {}\n  poll: 100ms\n\
             resume:\n  secret: a-secret-that-all-entries-share\n\
             shutdown:\n  balancer: 300ms\n  limit: 20s\n",
            self.mesh_settings(index),
            self.platform.address
        );
        std::fs::write(&path, text).unwrap();
        let mut options = vec!["serve", "--settings", path.to_str().unwrap()];
        for line in &self.settings {
            options.extend(["--set", line.as_str()]);
        }
        Process::entry(&options)
    }

    fn mesh_settings(&self, index: usize) -> String {
        if !self.meshed {
            return String::new();
        }
        let keys = self.directory.path().join("keys");
        let keys = keys.display();
        format!(
            "  certificate: {keys}/entry-{index}.pem\n  key: {keys}/entry-{index}-key.pem\n\
             \u{20} authority: {keys}/ca.pem\n"
        )
    }

    /// Waits until all entries are ready and reach an upstream of each kind.
    pub(crate) async fn ready(&self) {
        for entry in &self.entries {
            self.entry_ready(entry).await;
        }
    }

    /// Waits until an entry is ready and reaches an upstream of each kind.
    pub(crate) async fn entry_ready(&self, entry: &Process) {
        let caller = Caller::new(&entry.address, LIMA);
        eventually("an entry is ready", async || {
            caller.get("/readyz").await.is_ok_and(|a| a.status == 200)
        })
        .await;
        if !self.services.is_empty() {
            eventually("an entry reaches the service", async || {
                let answer = caller.get("/kiosk/status/warm-up").await;
                answer.is_ok_and(|answer| answer.status == 200)
            })
            .await;
        }
        if !self.engines.is_empty() {
            eventually("an entry reaches the engine", async || {
                let answer = caller.complete("kiosk", "warm up", 1).await;
                answer.is_ok_and(|answer| answer.status == 200)
            })
            .await;
        }
    }

    /// Appends an edit that adds these entities.
    pub(crate) async fn publish(&self, changes: &[(&str, &str, Value)]) {
        let caller = Caller::new(&self.platform.address, "");
        let record = catalogue::edit(changes);
        let answer = caller.post("/log/append", record).await.unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
    }

    /// A client for the administration API of an entry.
    pub(crate) fn operator(&self, entry: usize) -> Caller {
        Caller::new(self.entries[entry].named_address("admin"), "admin-token")
    }

    /// A caller with this key at an entry.
    pub(crate) fn caller(&self, entry: usize, key: &str) -> Caller {
        Caller::new(&self.entries[entry].address, key)
    }

    /// Sums up the executions counted by the services.
    pub(crate) async fn executions(&self) -> Executions {
        let mut all = Executions::default();
        for service in &self.services {
            let caller = Caller::new(&service.address, "");
            let Ok(answer) = caller.get("/standin/executions").await else {
                continue;
            };
            let value: Value = serde_json::from_slice(&answer.body).unwrap();
            for (body, count) in value["by_body"].as_object().unwrap() {
                *all.by_body.entry(body.clone()).or_default() += count.as_u64().unwrap();
            }
        }
        all
    }

    pub(crate) async fn list(&self, id: &str, kind: &str, pool: &str, address: &str) {
        let instance = json!({
            "id": id, "kind": kind, "pool": pool, "data_centre": "callao", "address": address,
        });
        let caller = Caller::new(&self.platform.address, "");
        let answer = caller.post("/instances", instance.to_string()).await;
        assert!(answer.unwrap().status < 300);
    }
}

/// Number of executions at all services, by the digest of the body.
#[derive(Debug, Default)]
pub(crate) struct Executions {
    pub(crate) by_body: std::collections::BTreeMap<String, u64>,
}

impl Executions {
    /// Number of executions of this body.
    pub(crate) fn of(&self, body: &str) -> u64 {
        let digest = blake3::hash(body.as_bytes()).to_hex();
        self.by_body.get(digest.as_str()).copied().unwrap_or(0)
    }
}

/// Sets fault switches of a stand-in.
pub(crate) async fn fault(process: &Process, switches: Value) {
    let caller = Caller::new(&process.address, "");
    let answer = caller.post("/fault", switches.to_string()).await.unwrap();
    assert_eq!(answer.status, 200, "{answer:?}");
}

/// Waits for a state and fails the test on a time-out.
pub(crate) async fn eventually(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let started = std::time::Instant::now();
    while !holds().await {
        assert!(started.elapsed() < TIMEOUT, "timed out waiting for: {what}");
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}
