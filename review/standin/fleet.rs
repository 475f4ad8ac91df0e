//! Starts the nodes and the replicas of a case as processes on loopback, and ends them.

use crate::json::quote;
use crate::network::{Network, Place};
use crate::store::Store;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Key of the only tenant's clients.
pub const KEY: &str = "k7h2m5q9";
/// Host name of all routes.
pub const HOST: &str = "shop.example";
/// Bounds of the small sites.
pub const DRAIN_MS: u64 = 2_000;

/// Lines of `record.txt`, each with its Unix milliseconds.
#[derive(Clone, Default)]
pub struct Record {
    lines: Arc<Mutex<Vec<(u128, String)>>>,
}

pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis()
}

impl Record {
    pub fn add(&self, what: &str) {
        self.add_at(unix_ms(), what);
    }

    pub fn add_at(&self, at_ms: u128, what: &str) {
        self.lines.lock().expect("not poisoned").push((at_ms, what.to_string()));
    }

    /// Returns the lines about servers, with their times.
    pub fn lines(&self) -> Vec<(u128, String)> {
        let mut lines = self.lines.lock().expect("not poisoned").clone();
        lines.sort();
        lines
    }

    /// Writes all lines in order of time, in seconds since the first.
    pub fn write(&self, path: &str) -> std::io::Result<()> {
        let lines = self.lines();
        let first = lines.first().map_or(0, |(at, _)| *at);
        let mut text = String::new();
        for (at, what) in lines {
            text.push_str(&format!("{:9.3} s  {what}\n", (at - first) as f64 / 1_000.0));
        }
        std::fs::write(path, text)
    }
}

/// A replica: a process of this program.
pub struct Replica {
    pub id: String,
    pub service: String,
    pub version: String,
    pub address: SocketAddr,
    slots: u32,
    born: u128,
    sequence: u32,
    child: Child,
    commands: ChildStdin,
}

impl Replica {
    pub fn start(
        record: &Record,
        id: &str,
        service: &str,
        version: &str,
        slots: u32,
        event_pause_ms: u64,
    ) -> std::io::Result<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(["server", id, &slots.to_string(), &event_pause_ms.to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let mut output = BufReader::new(child.stdout.take().expect("the output is piped"));
        let commands = child.stdin.take().expect("the input is piped");
        let mut line = String::new();
        output.read_line(&mut line)?;
        let address = line.trim().parse().map_err(std::io::Error::other)?;
        let record = record.clone();
        thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                if let Some((at, what)) = line.split_once(' ') {
                    record.add_at(at.parse().unwrap_or_default(), what);
                }
            }
        });
        Ok(Self {
            id: id.to_string(),
            service: service.to_string(),
            version: version.to_string(),
            address,
            slots,
            born: unix_ms(),
            sequence: 0,
            child,
            commands,
        })
    }

    /// Writes the row with which the replica registers itself.
    pub fn register(&mut self, store: &Store, state: &str) {
        self.sequence += 1;
        let row = format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":\"zone-0\",\"version\":{},\"slots\":{},\"state\":\"{state}\",\
             \"coldRemainingMs\":0,\"sequence\":{},\"born\":{}}}",
            quote(&self.service),
            self.address,
            quote(&self.version),
            self.slots,
            self.sequence,
            self.born
        );
        store.put("servers", &self.id, &row);
    }

    pub fn command(&mut self, line: &str) {
        let _ = writeln!(self.commands, "{line}");
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Ends the process at once, and removes its row.
    pub fn stop(&mut self, store: &Store) {
        self.command("exit");
        let _ = self.child.wait();
        store.remove("servers", &self.id);
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The nodes: processes of the project's program, with the command of the deploy file.
pub struct Nodes {
    pub callers: Vec<SocketAddr>,
    ready: Vec<SocketAddr>,
    folder: PathBuf,
    children: Vec<Child>,
    /// Ends the nodes if this process ends before them.
    guard: Option<Child>,
    /// Network between the nodes, if they are in two regions.
    pub network: Option<Network>,
}

/// Returns ports that are free on all addresses, for TCP and UDP.
fn free_ports(ips: &[Ipv4Addr], count: usize) -> Vec<u16> {
    let mut ports = Vec::new();
    while ports.len() < count {
        let listener = TcpListener::bind((ips[0], 0)).expect("loopback has a free port");
        let port = listener.local_addr().expect("a bound socket has an address").port();
        drop(listener);
        let is_free = ips.iter().all(|ip| {
            TcpListener::bind((*ip, port)).is_ok() && UdpSocket::bind((*ip, port)).is_ok()
        });
        if is_free && !ports.contains(&port) {
            ports.push(port);
        }
    }
    ports
}

impl Nodes {
    /// Starts nodes in one region.
    pub fn start(count: u8, store: &Store) -> std::io::Result<Self> {
        Self::start_in_regions(count, 1, store)
    }

    /// Starts nodes in turn in one or two regions. The nodes of two regions know each other by addresses of a network that can be split.
    pub fn start_in_regions(count: u8, regions: usize, store: &Store) -> std::io::Result<Self> {
        let [.., high, low] = std::process::id().to_be_bytes();
        let ip = |number: u8| Ipv4Addr::new(127, 1 + high % 250, low, number);
        let places: Vec<Place> = (0..count)
            .map(|index| Place {
                real: ip(1 + index),
                known_as: ip(if regions > 1 { 101 + index } else { 1 + index }),
                region: usize::from(index) % regions,
            })
            .collect();
        let all_ips: Vec<Ipv4Addr> =
            places.iter().flat_map(|place| [place.real, place.known_as]).collect();
        let ports = free_ports(&all_ips, 4);
        let folder =
            std::env::temp_dir().join(format!("agatecourse-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let address = |port: u16| {
            let addresses = places.iter().map(|place| SocketAddr::new(place.real.into(), port));
            addresses.collect::<Vec<_>>()
        };
        let network = if regions > 1 { Some(Network::start(&places, ports[3])?) } else { None };
        let mut nodes = Self {
            callers: address(ports[0]),
            ready: address(ports[1]),
            folder: folder.clone(),
            children: Vec::new(),
            guard: None,
            network,
        };
        for (index, place) in places.iter().enumerate() {
            let others = places.iter().filter(|other| other.real != place.real);
            let seeds: Vec<String> =
                others.map(|other| format!("{}:{}", other.known_as, ports[2])).collect();
            let settings = folder.join(format!("node-{index}.conf"));
            let (ip, region) = (place.real, place.region);
            std::fs::write(
                &settings,
                format!(
                    "nodeName=edge-{region}-{index}\nrole=node\nmachineClass=edge\nserves=edge,control_plane\nip={ip}\n\
                     zone=zone-{region}\nregion=region-{region}\nzones.zone-0=region-0\nzones.zone-1=region-1\n\
                     listen.frontend={ip}:{}\nlisten.ready={ip}:{}\n\
                     listen.control={ip}:{}\ninternalPorts={},{}\nseeds={}\nbootstrap=true\ninTolerance=false\nfaultTolerance.machines=1\nfaultTolerance.zones=0\nfaultTolerance.regions=0\n\
                     limits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\nlimits.maxFds=4100\nlimits.linkMbps=1000.0\n\
                     limits.diskMb=0\ndiscovery=platform\nentry=vip\nheartbeatMs=1200\nbounds.seedLagS=3\nbounds.reuseAfterS=2\n\
                     bounds.stableWindowMs=3000\nbounds.ackMs=4000\nbounds.catchUpS=4\nbounds.drainMs={DRAIN_MS}\nbounds.graceS=8\n\
                     bounds.lossSlackMs=200\nbounds.configApplyMs=2000\nbounds.downgradeSlackMs=250\nbounds.maxSkewMs=5000\n\
                     bounds.failClosed=false\nbounds.revokeMs=5000\nbounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\n\
                     bounds.retryBudgetExtra=58\nbounds.quotaWindowS=8\nbounds.quotaOverage=0.1\nbounds.quotaSlack=190000\n\
                     bounds.exposureShare=0.1\nbounds.exposureSlack=50\nbounds.rollbackMs=5000\nbounds.recoverS=12\n\
                     bounds.deliveryDelayMs=120\nbounds.retryAfterS=10\nplatform.address={}\nplatform.form=table\n\
                     platform.writesPerS=400\nplatform.readsPerS=2000\nplatform.rowBytes=65536\nplatform.historyS=20\n",
                    ports[0],
                    ports[1],
                    ports[2],
                    ports[3],
                    ports[3],
                    seeds.join(","),
                    store.address
                ),
            )?;
            let log = std::fs::File::create(folder.join(format!("node-{index}.log")))?;
            let kept = |name: &String| ["PATH", "HOME", "LANG"].contains(&name.as_str());
            let child = Command::new("target/release/agatecourse-node")
                .env_clear()
                .envs(std::env::vars().filter(|(name, _)| kept(name)))
                .env("AGATECOURSE_NODE_FILE", &settings)
                .stdout(log)
                .stdin(Stdio::null())
                .spawn()?;
            nodes.children.push(child);
        }
        let ids = nodes.children.iter().map(|child| child.id().to_string());
        let guard = Command::new(std::env::current_exe()?)
            .arg("guard")
            .args(ids)
            .stdin(Stdio::piped())
            .spawn()?;
        nodes.guard = Some(guard);
        Ok(nodes)
    }

    /// Waits until all nodes say that they are ready; returns whether they did within ten seconds.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        let is_ready = |address: &SocketAddr| {
            let Ok(mut stream) = TcpStream::connect(address) else { return false };
            let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
            let request = b"GET /v1/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
            let mut buffer = Vec::new();
            stream.write_all(request).is_ok()
                && crate::http::read_head(&mut stream, &mut buffer)
                    .is_some_and(|head| head.starts_with("HTTP/1.1 200"))
        };
        while Instant::now() < until {
            if self.ready.iter().all(is_ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Adds the lines of the nodes' logs that contain one of these texts to the record.
    pub fn add_log_lines(&self, record: &Record, texts: &[&str]) {
        let at = unix_ms();
        for index in 0..self.children.len() {
            let path = self.folder.join(format!("node-{index}.log"));
            let log = std::fs::read_to_string(path).unwrap_or_default();
            for line in log.lines().filter(|line| texts.iter().any(|text| line.contains(text))) {
                record.add_at(at, &format!("log of node {index}: {line}"));
            }
        }
    }
}

impl Drop for Nodes {
    fn drop(&mut self) {
        if let Some(guard) = &mut self.guard {
            let _ = guard.kill();
            let _ = guard.wait();
        }
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Waits until the process that has started it ends, and ends the nodes with these process ids.
pub fn guard(ids: &[String]) {
    let _ = std::io::copy(&mut std::io::stdin().lock(), &mut std::io::sink());
    let _ = Command::new("kill").arg("-9").args(ids).status();
}
