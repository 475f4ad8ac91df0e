use crate::seeded_rng::SeededRng;
use agatecourse_demo::{Deployment, Target};
use agatecourse_history::{HistoryEvent, Record};
use agatecourse_platform::{VmEntry, VmState};
use awc::Client;
use serde::Serialize;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::TcpStream;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Text in a request body that crashes an engine while the fault [`FaultKind::EngineCrashed`] is active.
pub const CRASH_MARKER: &str = "crash-marker";
/// Delay until a change of the VM list becomes visible in the deployment of the demo.
const VM_LIST_LAG: Duration = Duration::from_secs(2);

/// Kind of an injected fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// A node's process is killed and later restarted.
    NodeKilled,
    /// A node's process is suspended and later resumed.
    NodePaused,
    /// The table refuses all operations.
    TableOutage,
    /// The table responds to each operation after 500 ms.
    TableSlow,
    /// 30% of the table's responses are lost after the operation took effect.
    TableAnswersLost,
    /// An engine sends nothing more on connections that are open.
    EngineSilent,
    /// A request with the [`CRASH_MARKER`] crashes each engine that runs it.
    EngineCrashed,
    /// The VM list announces that a target's VM leaves.
    TargetLeaving,
}

impl FaultKind {
    /// All kinds, in the order from which the seed selects them.
    pub const ALL: [Self; 8] = [
        Self::NodeKilled,
        Self::NodePaused,
        Self::TableOutage,
        Self::TableSlow,
        Self::TableAnswersLost,
        Self::EngineSilent,
        Self::EngineCrashed,
        Self::TargetLeaving,
    ];
}

/// Injects faults into a deployment and records them for the history.
pub struct FaultInjector<'a> {
    deployment: &'a mut Deployment,
    rng: SeededRng,
    records: Vec<Record>,
    counts: BTreeMap<FaultKind, usize>,
}

impl<'a> FaultInjector<'a> {
    /// Creates an injector whose choices depend only on the seed.
    pub fn new(deployment: &'a mut Deployment, seed: u64) -> Self {
        let (records, counts) = (Vec::new(), BTreeMap::new());
        Self { deployment, rng: SeededRng::new(seed, 1), records, counts }
    }

    /// Returns the history records and the number of faults of each kind.
    pub fn finish(self) -> (Vec<Record>, BTreeMap<FaultKind, usize>) {
        (self.records, self.counts)
    }

    /// Injects faults of two different kinds at once and reverts them after 2 to 4 s.
    ///
    /// # Errors
    ///
    /// Returns a description when a fault can't be injected or reverted.
    pub async fn inject_pair(&mut self) -> Result<(), String> {
        let first = self.rng.index(FaultKind::ALL.len());
        let distance = 1 + self.rng.index(FaultKind::ALL.len() - 1);
        let second = (first + distance) % FaultKind::ALL.len();
        let nodes = self.deployment.nodes().len();
        let node = self.rng.index(nodes);
        let other = (node + 1 + self.rng.index(nodes - 1)) % nodes;
        let faults = [(FaultKind::ALL[first], node), (FaultKind::ALL[second], other)];
        let target = self.rng.index(self.deployment.targets().len());
        for (kind, node) in faults {
            *self.counts.entry(kind).or_default() += 1;
            self.inject_fault(kind, node, target).await?;
        }
        let duration = Duration::from_secs_f64(2.0 + 2.0 * self.rng.unit());
        actix_rt::time::sleep(duration).await;
        for (kind, node) in faults {
            self.revert_fault(kind, node, target).await?;
        }
        Ok(())
    }

    async fn inject_fault(
        &mut self,
        kind: FaultKind,
        node: usize,
        target: usize,
    ) -> Result<(), String> {
        let subject = self.deployment.nodes()[node].0.clone();
        match kind {
            FaultKind::NodeKilled => {
                self.deployment.kill_node(node).map_err(|error| error.to_string())?;
                self.record_event(HistoryEvent::NodeDied { subject });
            }
            FaultKind::NodePaused => {
                self.record_event(HistoryEvent::NodePaused { subject });
                self.deployment.pause_node(node).map_err(|error| error.to_string())?;
            }
            FaultKind::TableOutage => self.set_table_faults(&json!({ "outage": true }))?,
            FaultKind::TableSlow => self.set_table_faults(&json!({ "latency_ms": 500 }))?,
            FaultKind::TableAnswersLost => {
                self.set_table_faults(&json!({ "lost_answer_rate": 0.3 }))?;
            }
            FaultKind::EngineSilent => {
                self.engine_standin(target).change_faults(&json!({ "silence_existing": true }))?;
            }
            FaultKind::EngineCrashed => self.set_crash_marker(&json!(CRASH_MARKER))?,
            FaultKind::TargetLeaving => {
                let name = self.deployment.targets()[target].name().to_string();
                self.write_vm_list(target, VmState::Leaving).await?;
                let event = HistoryEvent::TargetLeaving { target: name };
                let shown_us = now_us() + VM_LIST_LAG.as_micros() as u64;
                self.records.push(Record::new(shown_us, "bench", event));
            }
        }
        Ok(())
    }

    async fn revert_fault(
        &mut self,
        kind: FaultKind,
        node: usize,
        target: usize,
    ) -> Result<(), String> {
        let subject = self.deployment.nodes()[node].0.clone();
        match kind {
            FaultKind::NodeKilled => {
                self.deployment.restart_node(node).map_err(|error| error.to_string())?;
            }
            FaultKind::NodePaused => {
                self.deployment.resume_node(node).map_err(|error| error.to_string())?;
                self.record_event(HistoryEvent::NodeResumed { subject });
            }
            FaultKind::TableOutage => self.set_table_faults(&json!({ "outage": false }))?,
            FaultKind::TableSlow => self.set_table_faults(&json!({ "latency_ms": 0 }))?,
            FaultKind::TableAnswersLost => {
                self.set_table_faults(&json!({ "lost_answer_rate": 0.0 }))?;
            }
            FaultKind::EngineSilent => {
                self.engine_standin(target).change_faults(&json!({ "silence_existing": false }))?;
            }
            FaultKind::EngineCrashed => self.restart_crashed_engines()?,
            FaultKind::TargetLeaving => {
                let target_name = self.deployment.targets()[target].name().to_string();
                // Recorded before the change: the target may receive requests as soon as its return becomes visible.
                self.record_event(HistoryEvent::TargetReturned { target: target_name });
                self.write_vm_list(target, VmState::Live).await?;
            }
        }
        Ok(())
    }

    fn record_event(&mut self, event: HistoryEvent) {
        self.records.push(Record::new(now_us(), "bench", event));
    }

    fn set_table_faults(&self, faults: &Value) -> Result<(), String> {
        self.deployment.table().change_faults(faults).map(|_| ())
    }

    /// Returns the stand-in of an engine, chosen by the index of a target modulo the number of engines.
    fn engine_standin(&self, target: usize) -> &agatecourse_standin::Standin {
        let targets = self.deployment.targets();
        let engines: Vec<&Target> = targets.iter().filter(|target| target.is_engine()).collect();
        engines[target % engines.len()].standin()
    }

    fn set_crash_marker(&self, marker: &Value) -> Result<(), String> {
        let engines = self.deployment.targets().iter().filter(|target| target.is_engine());
        for engine in engines {
            engine.standin().change_faults(&json!({ "crash_marker": marker }))?;
        }
        Ok(())
    }

    fn restart_crashed_engines(&mut self) -> Result<(), String> {
        self.set_crash_marker(&Value::Null)?;
        let mut crashed = Vec::new();
        for target in self.deployment.targets_mut() {
            if TcpStream::connect(target.standin().address()).is_err() {
                target.restart().map_err(|error| error.to_string())?;
                crashed.push(target.name().to_string());
            }
        }
        for target in crashed {
            self.record_event(HistoryEvent::TargetDied { target });
        }
        Ok(())
    }

    async fn write_vm_list(&self, target: usize, state: VmState) -> Result<(), String> {
        let target = &self.deployment.targets()[target];
        let mut vms = self.deployment.node_vms();
        vms.push(VmEntry {
            vm: target.vm().to_string(),
            zone: target.zone().to_string(),
            address: target.standin().address(),
            state,
        });
        let url = format!("http://{}/v1/vms", self.deployment.vm_list().address());
        let answer = Client::default().put(url).send_json(&vms).await;
        let status = answer.map_err(|error| error.to_string())?.status();
        if status.is_success() { Ok(()) } else { Err(format!("list of VMs: status {status}")) }
    }
}

/// Returns the current time in microseconds since the Unix epoch, the time format of histories.
pub fn now_us() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}
