//! Node processes. One of them is measured: under callgrind, or by the memory that the operating
//! system reports.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Name and addresses of a node.
#[derive(Debug, Clone)]
pub(crate) struct NodeAddress {
    pub(crate) name: String,
    pub(crate) front: SocketAddr,
    pub(crate) back: SocketAddr,
}

/// Addresses of the services of a cluster.
pub(crate) struct Services {
    /// The state service.
    pub(crate) state: SocketAddr,
    /// The cloud.
    pub(crate) cloud: SocketAddr,
}

/// Memory of a process, in MB.
pub(crate) struct Memory {
    /// Current resident memory.
    pub(crate) now_mb: f64,
    /// Peak resident memory.
    pub(crate) max_mb: f64,
}

/// A running node. The process is killed when this value is dropped.
pub(crate) struct NodeProcess {
    child: Child,
    /// Path prefix of callgrind's profiles, if the node runs under callgrind.
    profile_path: Option<PathBuf>,
}

impl NodeProcess {
    /// Starts the program, under callgrind if a path for profiles is given.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the log can't be created or the program can't be started.
    pub(crate) fn start(
        settings_file: &Path,
        log: &Path,
        profile_path: Option<PathBuf>,
    ) -> std::io::Result<NodeProcess> {
        let program = env!("CARGO_BIN_EXE_umbervale");
        let mut command = match &profile_path {
            Some(profile_path) => callgrind_command(profile_path, program),
            None => Command::new(program),
        };
        let child = command
            .arg("serve")
            .arg("--config")
            .arg(settings_file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(fs::File::create(log)?)
            .spawn()?;
        Ok(NodeProcess {
            child,
            profile_path,
        })
    }

    /// Makes callgrind write the profile since the last call and reset its counters. Returns the
    /// file with the profile, or `None` if the node does not run under callgrind or the dump fails.
    pub(crate) fn dump_profile(&self, phase: &str) -> Option<PathBuf> {
        let profile_path = self.profile_path.as_ref()?;
        let dump_status = Command::new("callgrind_control")
            .arg(format!("--dump={phase}"))
            .arg(self.child.id().to_string())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .status();
        dump_status.ok().filter(|status| status.success())?;
        let numbers = 1..;
        let files =
            numbers.map(|number| PathBuf::from(format!("{}.{number}", profile_path.display())));
        files.take_while(|file| file.exists()).last()
    }

    /// Returns the memory of the process, or `None` if it can't be read.
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

    /// Kills the process and waits for its end.
    pub(crate) fn kill(&mut self) {
        // The process may already have ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the command that runs the program under callgrind.
fn callgrind_command(profile_path: &Path, program: &str) -> Command {
    let mut command = Command::new("valgrind");
    command
        .arg("--tool=callgrind")
        .arg(format!("--callgrind-out-file={}", profile_path.display()))
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

fn all_peer_settings(node: &NodeAddress, nodes: &[NodeAddress]) -> String {
    let peers = nodes.iter().filter(|peer| peer.name != node.name);
    peers.map(peer_settings).collect()
}

/// Returns the text of a node's settings file.
pub(crate) fn settings_text(
    node: &NodeAddress,
    nodes: &[NodeAddress],
    services: &Services,
    report_s: u64,
) -> String {
    let peers = all_peer_settings(node, nodes);
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
