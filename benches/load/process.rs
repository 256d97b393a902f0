//! Node processes: one is measured, under callgrind or by the memory that the system reports.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Where a node is reached, and where its files are.
#[derive(Debug, Clone)]
pub(crate) struct NodeAddress {
    pub(crate) name: String,
    pub(crate) front: SocketAddr,
    pub(crate) back: SocketAddr,
}

/// Where the services of a cluster are reached.
pub(crate) struct Services {
    /// The state service.
    pub(crate) state: SocketAddr,
    /// The cloud.
    pub(crate) cloud: SocketAddr,
}

/// Memory of a process, in MB.
pub(crate) struct Memory {
    /// What it holds now.
    pub(crate) now_mb: f64,
    /// What it has held at most.
    pub(crate) max_mb: f64,
}

/// A running node. It ends when this is dropped.
pub(crate) struct NodeProcess {
    child: Child,
    /// Where callgrind writes its profiles, if the node runs under it.
    profiles: Option<PathBuf>,
}

impl NodeProcess {
    /// Starts the program: natively, or under callgrind if it is to write profiles.
    pub(crate) fn start(
        settings: &Path,
        log: &Path,
        profiles: Option<PathBuf>,
    ) -> std::io::Result<NodeProcess> {
        let program = env!("CARGO_BIN_EXE_umbervale");
        let mut command = match &profiles {
            Some(profiles) => callgrind(profiles, program),
            None => Command::new(program),
        };
        let child = command
            .arg("serve")
            .arg("--config")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(fs::File::create(log)?)
            .spawn()?;
        Ok(NodeProcess { child, profiles })
    }

    /// Writes what was collected since the last call, and begins anew; the file that has it.
    pub(crate) fn dump(&self, phase: &str) -> Option<PathBuf> {
        let profiles = self.profiles.as_ref()?;
        let control = Command::new("callgrind_control")
            .arg(format!("--dump={phase}"))
            .arg(self.child.id().to_string())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .status();
        control.ok().filter(|status| status.success())?;
        let numbers = 1..;
        let files = numbers.map(|number| PathBuf::from(format!("{}.{number}", profiles.display())));
        files.take_while(|file| file.exists()).last()
    }

    /// The memory of the process.
    pub(crate) fn memory(&self) -> Option<Memory> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let field = |name: &str| {
            let line = status.lines().find(|line| line.starts_with(name))?;
            let kib: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
            Some(kib / 1024.0)
        };
        Some(Memory {
            now_mb: field("VmRSS:")?,
            max_mb: field("VmHWM:")?,
        })
    }

    /// Ends the process.
    pub(crate) fn kill(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The program under callgrind.
fn callgrind(profiles: &Path, program: &str) -> Command {
    let mut command = Command::new("valgrind");
    command
        .arg("--tool=callgrind")
        .arg(format!("--callgrind-out-file={}", profiles.display()))
        .arg("--compress-strings=no")
        .arg("--compress-pos=no")
        .arg("--collect-systime=no")
        .arg(program);
    command
}

fn peer_settings(peer: &NodeAddress) -> String {
    let NodeAddress { name, back, .. } = peer;
    format!("[[peers]]\nnode_name = \"{name}\"\nsite = \"west\"\naddr = \"{back}\"\n")
}

fn peers_settings(node: &NodeAddress, nodes: &[NodeAddress]) -> String {
    let peers = nodes.iter().filter(|peer| peer.name != node.name);
    peers.map(peer_settings).collect()
}

/// The settings file of a node.
pub(crate) fn settings(
    node: &NodeAddress,
    nodes: &[NodeAddress],
    services: &Services,
    report_s: u64,
) -> String {
    let peers = peers_settings(node, nodes);
    let NodeAddress { name, front, back } = node;
    let Services { state, cloud } = services;
    format!(
        r#"
node_name = "{name}"
site = "east"
front = "{front}"
back = "{back}"
{peers}
[services]
cloud = "{cloud}"
state = "{state}"
[cluster]
nodes = {count}
zones = ["east", "west"]
[[cluster.teams]]
name = "load"
gpus_max = 1000000.0
[cluster.workers]
report_s = {report_s}.0
lease_s = {lease_s}.0
gang_wait_s = 30.0
gang_peer_s = 6.0
cancel_s = {cancel_s}.0
[cluster.state]
rps = 100000.0
write_rps = 100000.0
value_kb = 8.0
txn_ops = 24
[cluster.cloud]
rps = 100.0
list_lag_s = 1.0
[cluster.machine_limits]
max_connections = 10000
"#,
        count = nodes.len(),
        lease_s = 20 * report_s,
        cancel_s = 40 * report_s,
    )
}
